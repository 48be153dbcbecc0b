//! A small JSON parser, base64, and the escaping of texts.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Value::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(items) => items,
            _ => &[],
        }
    }
}

pub fn parse(bytes: &[u8]) -> Option<Value> {
    let text: Vec<char> = std::str::from_utf8(bytes).ok()?.chars().collect();
    let mut parser = Parser { text, at: 0 };
    parser.value()
}

struct Parser {
    text: Vec<char>,
    at: usize,
}

impl Parser {
    fn next(&mut self) -> Option<char> {
        while self.text.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn take(&mut self, wanted: char) -> Option<()> {
        (self.next()? == wanted).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Value> {
        match self.next()? {
            '{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.next()? != '}' {
                    let Value::Text(key) = self.value()? else { return None };
                    self.take(':')?;
                    fields.push((key, self.value()?));
                    if self.next()? == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Value::Object(fields))
            }
            '[' => {
                self.at += 1;
                let mut items = Vec::new();
                while self.next()? != ']' {
                    items.push(self.value()?);
                    if self.next()? == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Value::List(items))
            }
            '"' => {
                self.at += 1;
                let mut text = String::new();
                loop {
                    let c = *self.text.get(self.at)?;
                    self.at += 1;
                    match c {
                        '"' => return Some(Value::Text(text)),
                        '\\' => {
                            let escaped = *self.text.get(self.at)?;
                            self.at += 1;
                            match escaped {
                                'n' => text.push('\n'),
                                'r' => text.push('\r'),
                                't' => text.push('\t'),
                                'u' => {
                                    let code: String =
                                        self.text.get(self.at..self.at + 4)?.iter().collect();
                                    self.at += 4;
                                    text.push(char::from_u32(
                                        u32::from_str_radix(&code, 16).ok()?,
                                    )?);
                                }
                                other => text.push(other),
                            }
                        }
                        other => text.push(other),
                    }
                }
            }
            _ => {
                let start = self.at;
                while self
                    .text
                    .get(self.at)
                    .is_some_and(|c| c.is_alphanumeric() || "+-.".contains(*c))
                {
                    self.at += 1;
                }
                let word: String = self.text[start..self.at].iter().collect();
                match word.as_str() {
                    "true" => Some(Value::Bool(true)),
                    "false" => Some(Value::Bool(false)),
                    "null" => Some(Value::Null),
                    number => number.parse().ok().map(Value::Number),
                }
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                quoted.push('\\');
                quoted.push(c);
            }
            c if (c as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(ALPHABET[(word >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for letter in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|other| *other == letter) else { continue };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}
