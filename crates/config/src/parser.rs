//! Parses a JSON text according to the schema, by reflection.
//!
//! Every accepted value is written into a Cap'n Proto message of the schema's type, whose readers
//! supply the defaults. The parser also records the position of each accepted value, so that checks
//! that compare values can report a position.

use std::net::SocketAddr;

use capnp::dynamic_struct;
use capnp::dynamic_value::{Builder, Enum, Reader};
use capnp::introspect::TypeVariant;
use capnp::schema::{EnumSchema, StructSchema};
use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use model::{FastMap, LabelSelector, LabelSet};
use schema::annotations_capnp::FieldKind;

use crate::ConfigError;
use crate::key::{KeySpec, closest_match, json_string};

/// Key shown in errors about the whole text.
const DOCUMENT_KEY: &str = "(document)";

/// Allows only JSON with comments and trailing commas. Other tools would read the further extensions of
/// the JSON parser differently.
const JSON_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parser of one text.
pub(crate) struct SchemaParser<'a> {
    file: &'a str,
    text: &'a str,
    /// Byte offset of the start of each line.
    line_starts: Vec<usize>,
    errors: Vec<(usize, ConfigError)>,
    /// Byte offset of each accepted value, by key path.
    offsets: FastMap<String, usize>,
}

impl<'a> SchemaParser<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts = std::iter::once(0).chain(breaks.map(|(at, _)| at + 1)).collect();
        SchemaParser { file, text, line_starts, errors: Vec::new(), offsets: FastMap::default() }
    }

    /// Parses the text into `builder` and collects the errors.
    pub(crate) fn parse(&mut self, builder: dynamic_struct::Builder<'_>) {
        let value = match parse_to_ast(self.text, &CollectOptions::default(), &JSON_OPTIONS) {
            Ok(result) => result.value,
            Err(error) => {
                let message = format!("invalid JSON: {}", error.kind());
                self.error(error.range().start, DOCUMENT_KEY, message);
                return;
            }
        };
        let result = match value {
            Some(Value::Object(object)) => self.read_struct("", &object, builder),
            Some(other) => {
                self.error(other.start(), DOCUMENT_KEY, "expected an object".to_string());
                return;
            }
            None => {
                self.error(0, DOCUMENT_KEY, "expected an object, found an empty text".to_string());
                return;
            }
        };
        if let Err(error) = result {
            self.error(0, DOCUMENT_KEY, format!("failed to apply the schema: {error}"));
        }
    }

    /// Adds an error at a key whose value was accepted. For any other key an error is already reported.
    pub(crate) fn reject(&mut self, path: &str, message: String) {
        if let Some(offset) = self.offsets.get(path) {
            self.error(*offset, path, message);
        }
    }

    /// Returns whether the key is present with an accepted value.
    pub(crate) fn is_accepted(&self, path: &str) -> bool {
        self.offsets.contains_key(path)
    }

    /// Returns the line of an accepted key as `line N`, for messages that refer to another key.
    pub(crate) fn line_of(&self, path: &str) -> String {
        let offset = self.offsets.get(path).copied().unwrap_or_default();
        format!("line {}", self.position(offset).0)
    }

    /// Returns all errors in the order of the text.
    pub(crate) fn finish(mut self) -> Result<(), Vec<ConfigError>> {
        if self.errors.is_empty() {
            return Ok(());
        }
        self.errors.sort_by_key(|(offset, _)| *offset);
        Err(self.errors.into_iter().map(|(_, error)| error).collect())
    }

    fn error(&mut self, offset: usize, key: &str, message: String) {
        let (line, column) = self.position(offset);
        let key = if key.is_empty() { DOCUMENT_KEY } else { key }.to_string();
        let error = ConfigError { file: self.file.to_string(), line, column, key, message };
        self.errors.push((offset, error));
    }

    /// Converts a byte offset to line and column. Both count from 1, columns in characters.
    fn position(&self, offset: usize) -> (usize, usize) {
        let line = self.line_starts.partition_point(|start| *start <= offset).max(1);
        let start = self.line_starts[line - 1];
        let before = self.text[start..].char_indices();
        (line, 1 + before.take_while(|(at, _)| start + at < offset).count())
    }

    fn read_struct(
        &mut self,
        path: &str,
        object: &Object<'_>,
        mut builder: dynamic_struct::Builder<'_>,
    ) -> capnp::Result<()> {
        self.offsets.insert(path.to_string(), object.start());
        let specs = key_specs(builder.get_schema())?;
        let mut seen: FastMap<&str, usize> = FastMap::default();
        for property in &object.properties {
            let name = property.name.as_str();
            let key = join_path(path, name);
            let Some(spec) = specs.iter().find(|spec| spec.name == name) else {
                self.error(property.start(), &key, unknown_key_message(name, &specs));
                continue;
            };
            if let Some(first) = seen.insert(&spec.name, property.start()) {
                let (line, _) = self.position(first);
                let message = format!("duplicate key, first given in line {line}");
                self.error(property.start(), &key, message);
                continue;
            }
            self.read_value(&key, spec, &property.value, builder.reborrow())?;
        }
        for spec in specs.iter().filter(|spec| spec.required) {
            if !seen.contains_key(spec.name.as_str()) {
                let message = format!("missing required key: expected {}", spec.expected_value()?);
                self.error(object.start(), &join_path(path, &spec.name), message);
            }
        }
        Ok(())
    }

    fn read_value(
        &mut self,
        path: &str,
        spec: &KeySpec,
        value: &Value<'_>,
        mut builder: dynamic_struct::Builder<'_>,
    ) -> capnp::Result<()> {
        match (spec.field.get_type().which(), value) {
            (TypeVariant::Struct(_), Value::Object(object)) => {
                if let Builder::Struct(inner) = builder.init(spec.field)? {
                    self.read_struct(path, object, inner)?;
                }
            }
            (TypeVariant::List(_), Value::Object(object)) if spec.kind == FieldKind::Labels => {
                self.read_labels(path, spec, object, builder)?;
            }
            (TypeVariant::List(element), Value::Array(array)) if spec.kind != FieldKind::Labels => {
                let count = array.elements.len() as u64;
                if count < spec.min || count > spec.max {
                    let message = format!("expected {}, found {count}", spec.expected_value()?);
                    self.error(array.start(), path, message);
                }
                self.offsets.insert(path.to_string(), array.start());
                // Entries beyond the limit are already reported. They are not parsed, which bounds the
                // time and memory for a text of any size.
                let count = count.min(spec.max) as u32;
                let Builder::List(mut list) = builder.initn(spec.field, count)? else {
                    return Ok(());
                };
                for (index, item) in (0..count).zip(&array.elements) {
                    let path = format!("{path}[{index}]");
                    match (element.which(), item) {
                        (TypeVariant::Struct(_), Value::Object(object)) => {
                            if let Builder::Struct(inner) = list.reborrow().get(index)? {
                                self.read_struct(&path, object, inner)?;
                            }
                        }
                        (TypeVariant::Text, Value::StringLit(literal)) => {
                            if self.check_text(&path, spec, item, &literal.value)? {
                                list.set(index, Reader::Text(literal.value.as_ref().into()))?;
                            }
                        }
                        _ => self.unexpected_value(&path, item, spec.expected_element()?),
                    }
                }
            }
            (TypeVariant::Bool, Value::BooleanLit(literal)) => {
                self.offsets.insert(path.to_string(), value.start());
                builder.set(spec.field, Reader::Bool(literal.value))?;
            }
            (TypeVariant::UInt32, Value::NumberLit(literal)) => {
                match literal.value.parse::<u32>() {
                    Ok(number) if (spec.min..=spec.max).contains(&u64::from(number)) => {
                        self.offsets.insert(path.to_string(), value.start());
                        builder.set(spec.field, Reader::UInt32(number))?;
                    }
                    _ => self.unexpected_value(path, value, spec.expected_value()?),
                }
            }
            (TypeVariant::Enum(raw), Value::StringLit(literal)) => {
                let enumerants = EnumSchema::new(raw).get_enumerants()?;
                let mut found = None;
                for enumerant in enumerants {
                    if enumerant.get_proto().get_name()?.to_str()? == literal.value {
                        found = Some(enumerant.get_ordinal());
                    }
                }
                match found {
                    Some(ordinal) => {
                        self.offsets.insert(path.to_string(), value.start());
                        let value = Enum::new(ordinal, EnumSchema::new(raw));
                        builder.set(spec.field, Reader::Enum(value))?;
                    }
                    None => self.unexpected_value(path, value, spec.expected_value()?),
                }
            }
            (TypeVariant::Text, Value::StringLit(literal)) => {
                if self.check_text(path, spec, value, &literal.value)? {
                    builder.set(spec.field, Reader::Text(literal.value.as_ref().into()))?;
                }
            }
            _ => self.unexpected_value(path, value, spec.expected_value()?),
        }
        Ok(())
    }

    fn read_labels(
        &mut self,
        path: &str,
        spec: &KeySpec,
        object: &Object<'_>,
        builder: dynamic_struct::Builder<'_>,
    ) -> capnp::Result<()> {
        let mut labels: Vec<(&str, &str)> = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let key = join_path(path, name);
            let Value::StringLit(literal) = &property.value else {
                self.unexpected_value(&key, &property.value, "a text in quotes".to_string());
                continue;
            };
            if labels.iter().any(|(other, _)| *other == name) {
                self.error(property.start(), &key, "duplicate label".to_string());
            } else if let Some(reason) = label_error(name) {
                self.error(property.start(), &key, format!("invalid label key {name:?}: {reason}"));
            } else if let Some(reason) = label_error(&literal.value) {
                let message = format!("invalid label value {:?}: {reason}", literal.value);
                self.error(literal.start(), &key, message);
            } else {
                self.offsets.insert(key, literal.start());
                labels.push((name, &literal.value));
            }
        }
        if object.properties.len() as u64 > spec.max {
            let message =
                format!("expected {}, found {}", spec.expected_value()?, object.properties.len());
            self.error(object.start(), path, message);
            return Ok(());
        }
        self.offsets.insert(path.to_string(), object.start());
        let Builder::List(mut list) = builder.initn(spec.field, labels.len() as u32)? else {
            return Ok(());
        };
        for (index, (key, value)) in (0..).zip(labels) {
            if let Builder::Struct(mut label) = list.reborrow().get(index)? {
                label.set_named("key", Reader::Text(key.into()))?;
                label.set_named("value", Reader::Text(value.into()))?;
            }
        }
        Ok(())
    }

    /// Checks a text according to its kind. Returns whether it is accepted.
    fn check_text(
        &mut self,
        path: &str,
        spec: &KeySpec,
        value: &Value<'_>,
        text: &str,
    ) -> capnp::Result<bool> {
        let accepted = match spec.kind {
            FieldKind::Plain | FieldKind::Labels => true,
            FieldKind::Name => is_name(text),
            FieldKind::Address => {
                text.parse::<SocketAddr>().is_ok_and(|address| address.port() != 0)
            }
            FieldKind::ReachableAddress => text.parse::<SocketAddr>().is_ok_and(|address| {
                let ip = address.ip();
                address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
            }),
            FieldKind::Selector => match text.parse::<LabelSelector>() {
                Ok(_) => true,
                Err(error) => {
                    // In a literal with escapes the offset differs from the one in the decoded text.
                    let literal = &self.text[value.start()..value.end()];
                    let inside = match text.find(&error.part) {
                        Some(at) if !literal.contains('\\') => 1 + at,
                        _ => 0,
                    };
                    self.error(value.start() + inside, path, error.to_string());
                    return Ok(false);
                }
            },
        };
        if accepted {
            self.offsets.insert(path.to_string(), value.start());
        } else {
            self.unexpected_value(path, value, spec.expected_element()?);
        }
        Ok(accepted)
    }

    /// Adds an error for a value that the key does not accept.
    fn unexpected_value(&mut self, path: &str, found: &Value<'_>, expected: String) {
        const MAX_SHOWN_CHARS: usize = 80;
        let shown = match found {
            Value::StringLit(literal) => {
                let text: String = literal.value.chars().take(MAX_SHOWN_CHARS).collect();
                json_string(&text)
            }
            Value::NumberLit(literal) => literal.value.chars().take(MAX_SHOWN_CHARS).collect(),
            Value::BooleanLit(literal) => literal.value.to_string(),
            Value::Object(_) => "an object".to_string(),
            Value::Array(_) => "a list".to_string(),
            Value::NullKeyword(_) => "null".to_string(),
        };
        self.error(found.start(), path, format!("expected {expected}, found {shown}"));
    }
}

/// Returns the keys of a struct, in the order of the schema file.
pub(crate) fn key_specs(schema: StructSchema) -> capnp::Result<Vec<KeySpec>> {
    let mut specs = Vec::new();
    for field in schema.get_fields()? {
        specs.push(KeySpec::from_field(field)?);
    }
    Ok(specs)
}

fn unknown_key_message(name: &str, specs: &[KeySpec]) -> String {
    let names = specs.iter().map(|spec| spec.name.as_str());
    match closest_match(name, names.clone()) {
        Some(closest) => format!("unknown key, did you mean {closest:?}?"),
        None => format!("unknown key, known keys are {}", names.collect::<Vec<_>>().join(", ")),
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_string() } else { format!("{path}.{name}") }
}

fn is_name(text: &str) -> bool {
    const MAX_NAME_BYTES: usize = 63;
    text.len() <= MAX_NAME_BYTES
        && text.starts_with(|first: char| first.is_ascii_alphanumeric())
        && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}

/// Returns the reason why a text is not a valid label key or value.
fn label_error(text: &str) -> Option<String> {
    // Parsing a label set of one pair accepts exactly the words that a selector can contain.
    if text.contains(['=', ',']) || text.trim() != text {
        return Some("allowed are letters, digits and -_./:".to_string());
    }
    LabelSet::parse(&format!("{text}={text}")).err().map(|error| error.reason.to_string())
}
