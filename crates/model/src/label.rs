//! Labels and label selectors.
//!
//! A selector is a comma-separated list of rules that must all hold: `key=value`, `key!=value`,
//! `key in (a, b)`, `key notin (a, b)`, `key` (present) and `!key` (absent).

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Labels of a caller, session or backend server, by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LabelSet(pub BTreeMap<Name, Name>);

impl LabelSet {
    /// Builds a set from pairs; a later pair replaces an earlier one with the same key.
    ///
    /// ```
    /// let labels = model::LabelSet::from_pairs([("kind", "vendor")]);
    /// assert_eq!(labels.get("kind").map(|value| value.as_str()), Some("vendor"));
    /// ```
    pub fn from_pairs<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        LabelSet(pairs.into_iter().map(|(key, value)| (key.into(), value.into())).collect())
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&Name> {
        self.0.get(key)
    }

    /// Adds all labels of `other`, which replace those with the same key.
    pub fn merge(&mut self, other: &LabelSet) {
        for (key, value) in &other.0 {
            self.0.insert(key.clone(), value.clone());
        }
    }

    /// Parses `key=value, key=value`.
    ///
    /// # Errors
    ///
    /// Returns the part that is not a pair of a valid key and a valid value.
    ///
    /// ```
    /// let labels = model::LabelSet::parse("kind=vendor, town=oshakati")?;
    /// assert_eq!(labels.0.len(), 2);
    /// # Ok::<(), model::LabelError>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, LabelError> {
        let mut labels = LabelSet::default();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            let (key, value) =
                part.split_once('=').ok_or_else(|| LabelError::new(part, "expected key=value"))?;
            labels.0.insert(parse_key_or_value(key)?, parse_key_or_value(value)?);
        }
        Ok(labels)
    }
}

/// How a rule compares a label.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MatchOperator {
    In(Vec<Name>),
    NotIn(Vec<Name>),
    Exists,
    Absent,
}

/// One rule of a label selector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MatchRule {
    pub key: Name,
    pub operator: MatchOperator,
}

impl MatchRule {
    /// Returns whether the labels satisfy the rule. A missing key satisfies `!=` and `notin`.
    pub fn matches(&self, labels: &LabelSet) -> bool {
        let value = labels.get(&self.key);
        match &self.operator {
            MatchOperator::In(values) => value.is_some_and(|value| values.contains(value)),
            MatchOperator::NotIn(values) => !value.is_some_and(|value| values.contains(value)),
            MatchOperator::Exists => value.is_some(),
            MatchOperator::Absent => value.is_none(),
        }
    }
}

/// A parsed label selector. An empty selector matches everything.
///
/// ```
/// use model::{LabelSelector, LabelSet};
/// let selector: LabelSelector = "kind in (vendor, kiosk), !suspended".parse()?;
/// assert!(selector.matches(&LabelSet::from_pairs([("kind", "kiosk")])));
/// assert!(!selector.matches(&LabelSet::from_pairs([("kind", "phone")])));
/// # Ok::<(), model::LabelError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LabelSelector {
    pub rules: Vec<MatchRule>,
    text: Name,
}

impl LabelSelector {
    /// Returns whether the labels satisfy all rules.
    pub fn matches(&self, labels: &LabelSet) -> bool {
        self.rules.iter().all(|rule| rule.matches(labels))
    }

    /// Returns the text that the selector was parsed from.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

/// A label or selector text that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid label expression {part:?}: {reason}")]
pub struct LabelError {
    pub part: String,
    pub reason: &'static str,
}

impl LabelError {
    fn new(part: &str, reason: &'static str) -> Self {
        LabelError { part: part.to_string(), reason }
    }
}

impl FromStr for LabelSelector {
    type Err = LabelError;

    fn from_str(text: &str) -> Result<Self, LabelError> {
        let mut rules = Vec::new();
        for part in split_rules(text)? {
            rules.push(parse_rule(part)?);
        }
        Ok(LabelSelector { rules, text: text.into() })
    }
}

impl fmt::Display for LabelSelector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.text)
    }
}

/// Splits at commas outside parentheses.
fn split_rules(text: &str) -> Result<Vec<&str>, LabelError> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut in_list = false;
    for (at, character) in text.char_indices() {
        match character {
            '(' if in_list => return Err(LabelError::new(text, "nested parenthesis")),
            '(' => in_list = true,
            ')' if !in_list => return Err(LabelError::new(text, "unexpected ')'")),
            ')' => in_list = false,
            ',' if !in_list => {
                parts.push(text[start..at].trim());
                start = at + 1;
            }
            _ => {}
        }
    }
    if in_list {
        return Err(LabelError::new(text, "missing ')'"));
    }
    parts.push(text[start..].trim());
    if parts.len() == 1 && parts[0].is_empty() {
        parts.clear();
    }
    Ok(parts)
}

fn parse_rule(part: &str) -> Result<MatchRule, LabelError> {
    if let Some(open) = part.find('(') {
        return parse_list_rule(part, open);
    }
    if let Some((key, value)) = part.split_once("!=") {
        let operator = MatchOperator::NotIn(vec![parse_key_or_value(value)?]);
        return Ok(MatchRule { key: parse_key_or_value(key)?, operator });
    }
    if let Some((key, value)) = part.split_once('=') {
        let operator = MatchOperator::In(vec![parse_key_or_value(value)?]);
        return Ok(MatchRule { key: parse_key_or_value(key)?, operator });
    }
    match part.strip_prefix('!') {
        Some(key) => {
            Ok(MatchRule { key: parse_key_or_value(key)?, operator: MatchOperator::Absent })
        }
        None => Ok(MatchRule { key: parse_key_or_value(part)?, operator: MatchOperator::Exists }),
    }
}

fn parse_list_rule(part: &str, open: usize) -> Result<MatchRule, LabelError> {
    let list = part[open + 1..]
        .strip_suffix(')')
        .ok_or_else(|| LabelError::new(part, "expected ')' at the end of the list"))?;
    let values = list.split(',').map(parse_key_or_value).collect::<Result<Vec<_>, _>>()?;
    let (key, word) = part[..open]
        .trim()
        .rsplit_once(char::is_whitespace)
        .ok_or_else(|| LabelError::new(part, "expected 'key in (...)' or 'key notin (...)'"))?;
    let operator = match word {
        "in" => MatchOperator::In(values),
        "notin" => MatchOperator::NotIn(values),
        _ => return Err(LabelError::new(part, "expected 'in' or 'notin' before the list")),
    };
    Ok(MatchRule { key: parse_key_or_value(key)?, operator })
}

/// Accepts 1 to 63 letters, digits and `-_./:`.
fn parse_key_or_value(text: &str) -> Result<Name, LabelError> {
    const MAX_BYTES: usize = 63;
    let word = text.trim();
    let valid = |character: char| character.is_ascii_alphanumeric() || "-_./:".contains(character);
    if word.is_empty() {
        return Err(LabelError::new(text, "expected a key or value"));
    }
    if word.len() > MAX_BYTES {
        return Err(LabelError::new(word, "longer than 63 bytes"));
    }
    if !word.chars().all(valid) {
        return Err(LabelError::new(word, "allowed are letters, digits and -_./:"));
    }
    Ok(word.into())
}
