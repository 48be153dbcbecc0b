//! Guards against panics on arbitrary input, and against examples that do not parse.

use config::{ExampleFile, diff_lines, parse_fleet, parse_settings, render_example};
use proptest::prelude::*;

#[test]
fn examples_parse() {
    let settings = render_example(ExampleFile::Settings);
    assert!(parse_settings("s", &settings).is_ok());
    let fleet = render_example(ExampleFile::Fleet);
    assert!(parse_fleet("f", &fleet, 1).is_ok());
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in any::<String>()) {
        let _ = parse_settings("s", &text);
        let _ = parse_fleet("f", &text, 1);
    }

    /// JSON-like texts reach further into the parser than arbitrary ones.
    #[test]
    fn json_like_text_never_panics(text in "[\\[\\]{}:,\"a-c0-9 éü/*\\\\\n.-]{0,80}") {
        let _ = parse_settings("s", &text);
        let _ = parse_fleet("f", &text, 1);
    }

    /// An example with random edits is either accepted or gives errors whose positions lie in the text.
    #[test]
    fn errors_of_edited_examples_lie_within_the_text(at in 0usize..6000, cut in 0usize..40, put in ".{0,3}") {
        for file in [ExampleFile::Settings, ExampleFile::Fleet] {
            let mut text: Vec<char> = render_example(file).chars().collect();
            let start = at.min(text.len());
            let end = (at + cut).min(text.len());
            text.splice(start..end, put.chars());
            let text: String = text.into_iter().collect();
            let errors = match file {
                ExampleFile::Settings => parse_settings("s", &text).err(),
                ExampleFile::Fleet => parse_fleet("f", &text, 1).err(),
            };
            for error in errors.unwrap_or_default() {
                let line = text.split('\n').nth(error.line - 1).unwrap_or_default();
                prop_assert!(error.column <= line.chars().count() + 1, "{error}");
                prop_assert!(!error.message.is_empty());
            }
        }
    }

    #[test]
    fn diff_of_equal_texts_is_empty(text in any::<String>()) {
        prop_assert_eq!(diff_lines("a", &text, "b", &text), "");
    }
}
