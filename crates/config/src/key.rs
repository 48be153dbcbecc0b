//! The specification of a key, read from the schema.

use capnp::dynamic_value::Reader;
use capnp::introspect::TypeVariant;
use capnp::schema::Field;
use capnp::schema_capnp::{field, value};
use schema::annotations_capnp as annotations;
use schema::annotations_capnp::FieldKind;

/// A key of the settings or the configuration with its annotations.
#[derive(Clone)]
pub(crate) struct KeySpec {
    pub(crate) field: Field,
    /// Name in snake_case, as in JSON.
    pub(crate) name: String,
    pub(crate) doc: &'static str,
    pub(crate) required: bool,
    pub(crate) unit: Option<&'static str>,
    pub(crate) min: u64,
    pub(crate) max: u64,
    pub(crate) kind: FieldKind,
    pub(crate) example: Option<&'static str>,
}

impl KeySpec {
    /// Reads the specification of a schema field.
    ///
    /// # Errors
    ///
    /// Fails if the generated code does not match the annotations that this module knows.
    pub(crate) fn from_field(field: Field) -> capnp::Result<Self> {
        let name = snake_case(field.get_proto().get_name()?.to_str()?);
        let mut spec = KeySpec {
            field,
            name,
            doc: "",
            required: false,
            unit: None,
            min: 0,
            max: u64::from(u32::MAX),
            kind: FieldKind::Plain,
            example: None,
        };
        for annotation in field.get_annotations()? {
            match (annotation.get_id(), annotation.get_value()?) {
                (annotations::doc::ID, Reader::Text(text)) => spec.doc = text.to_str()?,
                (annotations::required::ID, _) => spec.required = true,
                (annotations::unit::ID, Reader::Text(text)) => spec.unit = Some(text.to_str()?),
                (annotations::min::ID, Reader::UInt64(min)) => spec.min = min,
                (annotations::max::ID, Reader::UInt64(max)) => spec.max = max,
                (annotations::kind::ID, Reader::Enum(kind)) => {
                    spec.kind = FieldKind::try_from(kind.get_value())?;
                }
                (annotations::example::ID, Reader::Text(text)) => {
                    spec.example = Some(text.to_str()?);
                }
                _ => {}
            }
        }
        Ok(spec)
    }

    /// Returns the default as JSON; `None` for a key that is required, absent by default, or a
    /// struct.
    pub(crate) fn default_json(&self) -> capnp::Result<Option<String>> {
        let field::Slot(slot) = self.field.get_proto().which()? else { return Ok(None) };
        if self.required {
            return Ok(None);
        }
        Ok(match (slot.get_default_value()?.which()?, self.field.get_type().which()) {
            (value::Bool(flag), _) => Some(flag.to_string()),
            (value::Uint32(number), _) => Some(number.to_string()),
            (value::Enum(ordinal), TypeVariant::Enum(raw)) => {
                let enumerants = capnp::schema::EnumSchema::new(raw).get_enumerants()?;
                Some(json_string(enumerants.get(ordinal).get_proto().get_name()?.to_str()?))
            }
            (value::Text(text), _) => match text?.to_str()? {
                "" if self.kind == FieldKind::Selector => Some("\"\"".to_string()),
                "" => None,
                text => Some(json_string(text)),
            },
            (value::List(_), _) if self.kind == FieldKind::Labels => Some("{}".to_string()),
            (value::List(_), _) => Some("[]".to_string()),
            _ => None,
        })
    }

    /// Describes the values that the key accepts.
    pub(crate) fn expected_value(&self) -> capnp::Result<String> {
        self.expected_for(self.field.get_type().which())
    }

    /// Describes the values that an element of the key's list accepts.
    pub(crate) fn expected_element(&self) -> capnp::Result<String> {
        match self.field.get_type().which() {
            TypeVariant::List(element) => self.expected_for(element.which()),
            other => self.expected_for(other),
        }
    }

    fn expected_for(&self, variant: TypeVariant) -> capnp::Result<String> {
        Ok(match variant {
            TypeVariant::Bool => "true or false".to_string(),
            TypeVariant::Enum(raw) => {
                let mut names = Vec::new();
                for enumerant in capnp::schema::EnumSchema::new(raw).get_enumerants()? {
                    names.push(json_string(enumerant.get_proto().get_name()?.to_str()?));
                }
                format!("one of {}", names.join(", "))
            }
            TypeVariant::Text => match self.kind {
                FieldKind::Name => {
                    "1 to 63 letters, digits and -_. in quotes, first a letter or digit".to_string()
                }
                FieldKind::Address => {
                    "an IP address and port in quotes, such as \"10.0.0.5:5432\"".to_string()
                }
                FieldKind::ReachableAddress => "an IP address that others can connect to and a \
                    port in quotes, such as \"10.0.0.5:5432\""
                    .to_string(),
                FieldKind::Selector => {
                    "a selector in quotes, such as \"kind in (kiosk, vendor), !report\"".to_string()
                }
                FieldKind::Plain | FieldKind::Labels => "a text in quotes".to_string(),
            },
            TypeVariant::List(_) if self.kind == FieldKind::Labels => {
                format!("an object of at most {} labels with texts as values", self.max)
            }
            TypeVariant::List(_) => format!("a list of {} to {} entries", self.min, self.max),
            TypeVariant::Struct(_) => "an object".to_string(),
            _ => match self.unit {
                Some(unit) => {
                    format!("a whole number from {} to {} ({unit})", self.min, self.max)
                }
                None => format!("a whole number from {} to {}", self.min, self.max),
            },
        })
    }
}

/// Converts `camelCase` to `snake_case`.
pub(crate) fn snake_case(text: &str) -> String {
    let mut result = String::with_capacity(text.len() + 4);
    for character in text.chars() {
        if character.is_ascii_uppercase() {
            result.push('_');
        }
        result.push(character.to_ascii_lowercase());
    }
    result
}

/// Encodes a text as a JSON string.
pub(crate) fn json_string(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

/// Returns the candidate with the smallest edit distance to a mistyped word, if the distance is at most
/// 1 plus a quarter of the candidate's length.
pub(crate) fn closest_match<'a>(
    word: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    const MAX_WORD_BYTES: usize = 64;
    if word.len() > MAX_WORD_BYTES {
        return None;
    }
    candidates
        .into_iter()
        .map(|candidate| (edit_distance(word, candidate), candidate))
        .filter(|(distance, candidate)| *distance <= 1 + candidate.len() / 4)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance of two words.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (at, left) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = at + 1;
        for (index, other) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(left != *other);
            diagonal = row[index + 1];
            row[index + 1] = replaced.min(diagonal + 1).min(row[index] + 1);
        }
    }
    row[right.len()]
}
