//! The `options` startup parameter: command-line arguments for the session.

/// Error for an `options` parameter that is not a list of settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid command-line argument for the session: {argument}")]
pub struct OptionsError {
    pub argument: String,
}

/// Splits an `options` parameter into settings. It accepts `-c name=value`, `-cname=value` and
/// `--name=value`, separated by white space; a backslash escapes the next character. A dash in the name
/// of a `--` argument stands for an underscore, as in PostgreSQL.
///
/// # Errors
///
/// Returns the argument that is not a setting.
///
/// ```
/// let options = pg::split_options(r"-c cicadawick.labels=kind=vendor,town=a\ b --geqo=off")?;
/// assert_eq!(options[0], ("cicadawick.labels".into(), "kind=vendor,town=a b".into()));
/// assert_eq!(options[1], ("geqo".into(), "off".into()));
/// # Ok::<(), pg::OptionsError>(())
/// ```
pub fn split_options(text: &str) -> Result<Vec<(String, String)>, OptionsError> {
    let mut settings = Vec::new();
    let mut words = split_words(text).into_iter();
    while let Some(word) = words.next() {
        let error = || OptionsError { argument: word.clone() };
        let (setting, is_long) = if let Some(rest) = word.strip_prefix("--") {
            (rest.to_owned(), true)
        } else if word == "-c" {
            (words.next().ok_or_else(error)?, false)
        } else if let Some(rest) = word.strip_prefix("-c") {
            (rest.to_owned(), false)
        } else {
            return Err(error());
        };
        let (name, value) = setting.split_once('=').ok_or_else(error)?;
        if name.is_empty() {
            return Err(error());
        }
        let name = if is_long { name.replace('-', "_") } else { name.to_owned() };
        settings.push((name, value.to_owned()));
    }
    Ok(settings)
}

fn split_words(text: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = None::<String>;
    let mut characters = text.chars();
    while let Some(character) = characters.next() {
        if character.is_ascii_whitespace() {
            words.extend(word.take());
            continue;
        }
        let literal = if character == '\\' { characters.next() } else { Some(character) };
        word.get_or_insert_default().extend(literal);
    }
    words.extend(word);
    words
}
