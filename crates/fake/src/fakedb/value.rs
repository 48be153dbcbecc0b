//! Values, column types and their text and binary encodings.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use super::SqlError;

/// Seconds from the Unix epoch to 2000-01-01, the epoch of PostgreSQL's binary timestamps.
const PG_EPOCH_SECONDS: i64 = 946_684_800;

/// One field of a row.
#[derive(Clone, Debug)]
pub(crate) enum Value {
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    /// Microseconds since 2000-01-01 UTC.
    Time(i64),
    Text(Arc<str>),
    Bytes(Arc<[u8]>),
}

pub(crate) type RowKey = Vec<Value>;
pub(crate) type Row = Arc<Vec<Value>>;

impl Value {
    pub(crate) fn text(text: &str) -> Self {
        Value::Text(text.into())
    }

    pub(crate) fn now() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Value::Time(since_epoch.as_micros() as i64 - PG_EPOCH_SECONDS * 1_000_000)
    }

    pub(crate) fn is_null(&self) -> bool {
        matches!(self, Value::Null)
    }

    fn type_order(&self) -> u8 {
        match self {
            Value::Bool(_) => 0,
            Value::Int(_) | Value::Float(_) => 1,
            Value::Time(_) => 2,
            Value::Text(_) => 3,
            Value::Bytes(_) => 4,
            Value::Null => 5,
        }
    }

    /// Renders the text format; `None` for NULL.
    pub(crate) fn to_text(&self) -> Option<String> {
        Some(match self {
            Value::Null => return None,
            Value::Bool(value) => if *value { "t" } else { "f" }.to_string(),
            Value::Int(value) => value.to_string(),
            Value::Float(value) => value.to_string(),
            Value::Time(value) => render_time(*value),
            Value::Text(value) => value.to_string(),
            Value::Bytes(value) => {
                let digits: String = value.iter().map(|byte| format!("{byte:02x}")).collect();
                format!("\\x{digits}")
            }
        })
    }

    pub(crate) fn as_int(&self) -> Option<i64> {
        match self {
            Value::Int(value) => Some(*value),
            Value::Float(value) => Some(*value as i64),
            Value::Text(text) => text.trim().parse().ok(),
            _ => None,
        }
    }

    pub(crate) fn as_float(&self) -> Option<f64> {
        match self {
            Value::Int(value) => Some(*value as f64),
            Value::Float(value) => Some(*value),
            Value::Text(text) => text.trim().parse().ok(),
            _ => None,
        }
    }
}

impl Ord for Value {
    fn cmp(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Value::Bool(left), Value::Bool(right)) => left.cmp(right),
            (Value::Int(left), Value::Int(right)) => left.cmp(right),
            (Value::Time(left), Value::Time(right)) => left.cmp(right),
            (Value::Text(left), Value::Text(right)) => left.cmp(right),
            (Value::Bytes(left), Value::Bytes(right)) => left.cmp(right),
            _ => match (self.type_order(), other.type_order()) {
                (1, 1) => {
                    let left = self.as_float().unwrap_or_default();
                    left.total_cmp(&other.as_float().unwrap_or_default())
                }
                (left, right) => left.cmp(&right),
            },
        }
    }
}

impl PartialOrd for Value {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Value {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Value {}

/// Type of a column or parameter. `numeric` is a double, which is precise enough for the amounts in
/// tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ColumnType {
    Bool,
    Int2,
    Int4,
    Int8,
    Float,
    Time,
    Text,
    Bytes,
    Void,
}

impl ColumnType {
    pub(crate) fn oid(self) -> u32 {
        match self {
            ColumnType::Bool => 16,
            ColumnType::Bytes => 17,
            ColumnType::Int8 => 20,
            ColumnType::Int2 => 21,
            ColumnType::Int4 => 23,
            ColumnType::Text => 25,
            ColumnType::Float => 701,
            ColumnType::Time => 1184,
            ColumnType::Void => 2278,
        }
    }

    pub(crate) fn from_oid(oid: u32) -> Option<Self> {
        Some(match oid {
            16 => ColumnType::Bool,
            17 => ColumnType::Bytes,
            20 => ColumnType::Int8,
            21 => ColumnType::Int2,
            23 => ColumnType::Int4,
            18 | 19 | 25 | 114 | 705 | 1042 | 1043 | 2950 => ColumnType::Text,
            700 | 701 | 1700 => ColumnType::Float,
            1114 | 1184 => ColumnType::Time,
            _ => return None,
        })
    }

    /// Returns the type with an SQL name; unknown types are treated as text.
    pub(crate) fn from_sql(name: &str) -> Self {
        let name = name.to_ascii_lowercase();
        let word = name.split(['(', ' ']).next().unwrap_or_default();
        match word {
            "bool" | "boolean" => ColumnType::Bool,
            "smallint" | "int2" => ColumnType::Int2,
            "int" | "integer" | "int4" | "serial" => ColumnType::Int4,
            "bigint" | "int8" | "bigserial" => ColumnType::Int8,
            "numeric" | "decimal" | "real" | "float" | "float4" | "float8" | "double" => {
                ColumnType::Float
            }
            "timestamp" | "timestamptz" => ColumnType::Time,
            "bytea" => ColumnType::Bytes,
            _ => ColumnType::Text,
        }
    }

    pub(crate) fn size(self) -> i16 {
        match self {
            ColumnType::Bool => 1,
            ColumnType::Int2 => 2,
            ColumnType::Int4 | ColumnType::Void => 4,
            ColumnType::Int8 | ColumnType::Float | ColumnType::Time => 8,
            ColumnType::Text | ColumnType::Bytes => -1,
        }
    }

    /// Converts a value to this type.
    pub(crate) fn convert(self, value: Value) -> Result<Value, SqlError> {
        let converted = match (self, &value) {
            (_, Value::Null) => Some(Value::Null),
            (ColumnType::Bool, Value::Bool(_)) => return Ok(value),
            (ColumnType::Bool, Value::Text(text)) => match &*text.to_ascii_lowercase() {
                "t" | "true" | "on" | "1" | "yes" => Some(Value::Bool(true)),
                "f" | "false" | "off" | "0" | "no" => Some(Value::Bool(false)),
                _ => None,
            },
            (ColumnType::Int2 | ColumnType::Int4 | ColumnType::Int8, _) => {
                value.as_int().map(Value::Int)
            }
            (ColumnType::Float, _) => value.as_float().map(Value::Float),
            (ColumnType::Time, Value::Time(_)) => return Ok(value),
            (ColumnType::Time, Value::Text(text)) => parse_time(text).map(Value::Time),
            (ColumnType::Bytes, Value::Bytes(_)) => return Ok(value),
            (ColumnType::Bytes, Value::Text(text)) => Some(Value::Bytes(parse_bytes(text))),
            (ColumnType::Text | ColumnType::Void, _) => {
                value.to_text().map(|text| Value::Text(text.into()))
            }
            _ => None,
        };
        converted.ok_or_else(|| {
            let text = value.to_text().unwrap_or_default();
            SqlError::new("22P02", format!("invalid input for type {self:?}: \"{text}\""))
        })
    }

    /// Reads a parameter in text (`binary` false) or binary format.
    pub(crate) fn decode(self, bytes: &[u8], binary: bool) -> Result<Value, SqlError> {
        let invalid = || SqlError::new("22P03", "incorrect binary data format in parameter");
        if !binary || matches!(self, ColumnType::Text | ColumnType::Void) {
            let text = std::str::from_utf8(bytes)
                .map_err(|_| SqlError::new("22021", "invalid byte sequence for encoding UTF8"))?;
            return self.convert(Value::text(text));
        }
        let number = match bytes.len() {
            1 => i64::from(bytes[0]),
            2 => i64::from(i16::from_be_bytes([bytes[0], bytes[1]])),
            4 => i64::from(i32::from_be_bytes(bytes.try_into().map_err(|_| invalid())?)),
            8 => i64::from_be_bytes(bytes.try_into().map_err(|_| invalid())?),
            _ => 0,
        };
        match (self, bytes.len()) {
            (ColumnType::Bytes, _) => Ok(Value::Bytes(bytes.into())),
            (ColumnType::Bool, 1) => Ok(Value::Bool(number != 0)),
            (ColumnType::Int2 | ColumnType::Int4 | ColumnType::Int8, 2 | 4 | 8) => {
                Ok(Value::Int(number))
            }
            (ColumnType::Float, 8) => Ok(Value::Float(f64::from_bits(number as u64))),
            (ColumnType::Time, 8) => Ok(Value::Time(number)),
            _ => Err(invalid()),
        }
    }

    /// Appends a value with its length in text or binary format.
    pub(crate) fn encode(self, value: &Value, binary: bool, out: &mut Vec<u8>) {
        let mut put = |bytes: &[u8]| {
            out.extend_from_slice(&(bytes.len() as i32).to_be_bytes());
            out.extend_from_slice(bytes);
        };
        match (self, value) {
            (_, Value::Null) => out.extend_from_slice(&(-1i32).to_be_bytes()),
            (ColumnType::Bool, Value::Bool(value)) if binary => put(&[u8::from(*value)]),
            (ColumnType::Int2, Value::Int(value)) if binary => put(&(*value as i16).to_be_bytes()),
            (ColumnType::Int4, Value::Int(value)) if binary => put(&(*value as i32).to_be_bytes()),
            (ColumnType::Int8, Value::Int(value)) if binary => put(&value.to_be_bytes()),
            (ColumnType::Float, value) if binary => {
                put(&value.as_float().unwrap_or_default().to_be_bytes());
            }
            (ColumnType::Time, Value::Time(value)) if binary => put(&value.to_be_bytes()),
            (ColumnType::Bytes, Value::Bytes(value)) if binary => put(value),
            (_, Value::Text(text)) => put(text.as_bytes()),
            _ => put(value.to_text().unwrap_or_default().as_bytes()),
        }
    }
}

fn parse_bytes(text: &str) -> Arc<[u8]> {
    let digits = text.strip_prefix("\\x").filter(|digits| digits.is_ascii());
    match digits {
        Some(digits) => (0..digits.len() / 2)
            .filter_map(|at| u8::from_str_radix(&digits[at * 2..at * 2 + 2], 16).ok())
            .collect(),
        None => text.as_bytes().into(),
    }
}

fn render_time(micros: i64) -> String {
    let seconds = micros.div_euclid(1_000_000) + PG_EPOCH_SECONDS;
    let (days, rest) = (seconds.div_euclid(86_400), seconds.rem_euclid(86_400));
    // Civil date from days since 1970-01-01, with years that start in March.
    let shifted = days + 719_468;
    let era = shifted.div_euclid(146_097);
    let day_of_era = shifted.rem_euclid(146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_index = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_index + 2) / 5 + 1;
    let month = if month_index < 10 { month_index + 3 } else { month_index - 9 };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    format!(
        "{year:04}-{month:02}-{day:02} {:02}:{:02}:{:02}.{:06}+00",
        rest / 3600,
        rest / 60 % 60,
        rest % 60,
        micros.rem_euclid(1_000_000)
    )
}

/// Parses `YYYY-MM-DD[ HH:MM:SS[.ffffff]]`; a time zone other than UTC is not supported.
fn parse_time(text: &str) -> Option<i64> {
    let text = text.trim().trim_end_matches("+00").trim_end_matches('Z');
    let (date, clock) = text.split_once([' ', 'T']).unwrap_or((text, "00:00:00"));
    let mut parts = date.splitn(3, '-').map(str::parse::<i64>);
    let (year, month, day) = (parts.next()?.ok()?, parts.next()?.ok()?, parts.next()?.ok()?);
    let mut parts = clock.splitn(3, ':');
    let hour: i64 = parts.next()?.parse().ok()?;
    let minute: i64 = parts.next().unwrap_or("0").parse().ok()?;
    let second: f64 = parts.next().unwrap_or("0").parse().ok()?;
    let shifted_year = if month <= 2 { year - 1 } else { year };
    let era = shifted_year.div_euclid(400);
    let year_of_era = shifted_year.rem_euclid(400);
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    let days = era * 146_097 + day_of_era - 719_468;
    let seconds = days * 86_400 + hour * 3600 + minute * 60 - PG_EPOCH_SECONDS;
    Some(seconds * 1_000_000 + (second * 1e6).round() as i64)
}
