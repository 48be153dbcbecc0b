//! Splits a statement text into tokens like PostgreSQL with `standard_conforming_strings` on.

use std::borrow::Cow;

/// One token; comments and white space are left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Token<'s> {
    /// Keyword or identifier that is not quoted, as written.
    Word(&'s str),
    /// Quoted identifier, without the quotes.
    Identifier(Cow<'s, str>),
    /// String constant of any form, without the quotes; escapes of `E''` strings stay as written.
    Text(String),
    Number(&'s str),
    Symbol(char),
}

/// Tokens of a text. Works on bytes: all delimiters are ASCII, so slices end at character boundaries.
pub(crate) struct TokenStream<'s> {
    text: &'s str,
    at: usize,
    comments: Vec<&'s str>,
    unreadable: bool,
}

impl<'s> TokenStream<'s> {
    pub(crate) fn new(text: &'s str) -> Self {
        TokenStream { text, at: 0, comments: Vec::new(), unreadable: false }
    }

    /// Returns the block comments passed so far, without their delimiters.
    pub(crate) fn comments(&self) -> &[&'s str] {
        &self.comments
    }

    /// Returns whether a quote or comment is unterminated, or an identifier uses Unicode escapes.
    pub(crate) fn is_unreadable(&self) -> bool {
        self.unreadable
    }

    fn rest(&self) -> &'s str {
        &self.text[self.at..]
    }

    fn byte(&self, offset: usize) -> Option<u8> {
        self.text.as_bytes().get(self.at + offset).copied()
    }

    fn skip_whitespace_and_comments(&mut self) {
        loop {
            let rest = self.rest();
            let trimmed = rest.trim_start_matches([' ', '\t', '\n', '\r', '\x0b', '\x0c']);
            self.at += rest.len() - trimmed.len();
            if trimmed.starts_with("--") {
                self.at += trimmed.find(['\n', '\r']).unwrap_or(trimmed.len());
            } else if trimmed.starts_with("/*") {
                self.skip_comment();
            } else {
                return;
            }
        }
    }

    /// Skips a block comment; PostgreSQL nests them.
    fn skip_comment(&mut self) {
        let bytes = self.text.as_bytes();
        let start = self.at + 2;
        let mut depth = 1;
        let mut at = start;
        while at + 1 < bytes.len() {
            match &bytes[at..at + 2] {
                b"/*" => {
                    depth += 1;
                    at += 2;
                }
                b"*/" => {
                    depth -= 1;
                    at += 2;
                    if depth == 0 {
                        self.comments.push(&self.text[start..at - 2]);
                        self.at = at;
                        return;
                    }
                }
                _ => at += 1,
            }
        }
        self.unreadable = true;
        self.at = bytes.len();
    }

    /// Reads up to the closing `quote`, which is escaped by doubling it, and in `E''` strings also by
    /// a backslash. The current byte is the opening quote.
    fn read_quoted(&mut self, quote: u8, backslash: bool) -> Cow<'s, str> {
        let bytes = self.text.as_bytes();
        let start = self.at + 1;
        let mut at = start;
        let mut doubled = false;
        while at < bytes.len() {
            if backslash && bytes[at] == b'\\' {
                at += 2;
            } else if bytes[at] != quote {
                at += 1;
            } else if bytes.get(at + 1) == Some(&quote) {
                doubled = true;
                at += 2;
            } else {
                self.at = at + 1;
                let inner = &self.text[start..at];
                let quote = char::from(quote);
                return match doubled {
                    true => inner.replace(&format!("{quote}{quote}"), &quote.to_string()).into(),
                    false => inner.into(),
                };
            }
        }
        self.unreadable = true;
        self.at = bytes.len();
        "".into()
    }

    /// Reads `$tag$...$tag$`; `None` if the dollar sign starts no string.
    fn read_dollar_quoted(&mut self) -> Option<Token<'s>> {
        let rest = self.rest();
        let close = rest[1..].find('$')? + 1;
        let tag = &rest[1..close];
        let valid = tag.bytes().all(is_word_byte) && !tag.starts_with(|c: char| c.is_ascii_digit());
        if !valid || tag.contains('$') {
            return None;
        }
        let delimiter = &rest[..=close];
        let body = &rest[close + 1..];
        match body.find(delimiter) {
            Some(end) => {
                self.at += close + 1 + end + delimiter.len();
                Some(Token::Text(body[..end].to_string()))
            }
            None => {
                self.unreadable = true;
                self.at = self.text.len();
                None
            }
        }
    }

    fn read_word(&mut self) -> &'s str {
        let rest = self.rest();
        let end = rest.bytes().position(|byte| !is_word_byte(byte)).unwrap_or(rest.len());
        self.at += end;
        &rest[..end]
    }
}

impl<'s> Iterator for TokenStream<'s> {
    type Item = Token<'s>;

    fn next(&mut self) -> Option<Token<'s>> {
        self.skip_whitespace_and_comments();
        let first = self.byte(0)?;
        match first {
            b'\'' => Some(Token::Text(self.read_quoted(b'\'', false).into_owned())),
            b'"' => Some(Token::Identifier(self.read_quoted(b'"', false))),
            b'e' | b'E' if self.byte(1) == Some(b'\'') => {
                self.at += 1;
                Some(Token::Text(self.read_quoted(b'\'', true).into_owned()))
            }
            b'b' | b'B' | b'x' | b'X' | b'n' | b'N' if self.byte(1) == Some(b'\'') => {
                self.at += 1;
                Some(Token::Text(self.read_quoted(b'\'', false).into_owned()))
            }
            // An identifier with Unicode escapes may name any function, so the text cannot be
            // classified.
            b'u' | b'U' if self.byte(1) == Some(b'&') && self.byte(2) == Some(b'"') => {
                self.at += 2;
                self.read_quoted(b'"', false);
                self.unreadable = true;
                Some(Token::Symbol('"'))
            }
            b'u' | b'U' if self.byte(1) == Some(b'&') && self.byte(2) == Some(b'\'') => {
                self.at += 2;
                Some(Token::Text(self.read_quoted(b'\'', false).into_owned()))
            }
            b'$' => self.read_dollar_quoted().or_else(|| {
                if self.unreadable {
                    return None;
                }
                self.at += 1;
                Some(Token::Symbol('$'))
            }),
            b'0'..=b'9' => Some(Token::Number(self.read_word())),
            byte if is_word_byte(byte) => Some(Token::Word(self.read_word())),
            _ => {
                let symbol = self.rest().chars().next()?;
                self.at += symbol.len_utf8();
                Some(Token::Symbol(symbol))
            }
        }
    }
}

/// Letters, digits, `_`, `$` and all bytes outside ASCII may be part of an identifier.
fn is_word_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'$' || byte >= 0x80
}
