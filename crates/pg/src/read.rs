//! Decoding of the message bodies that a proxy must understand.

use crate::message::ErrorFields;

/// Error for a body that does not have the layout of its message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid message format: {field}")]
pub struct BodyError {
    /// The field that could not be read.
    pub field: &'static str,
}

struct BodyReader<'a> {
    rest: &'a [u8],
}

impl<'a> BodyReader<'a> {
    fn take(&mut self, count: usize, field: &'static str) -> Result<&'a [u8], BodyError> {
        if self.rest.len() < count {
            return Err(BodyError { field });
        }
        let (taken, rest) = self.rest.split_at(count);
        self.rest = rest;
        Ok(taken)
    }

    fn byte(&mut self, field: &'static str) -> Result<u8, BodyError> {
        Ok(self.take(1, field)?[0])
    }

    fn int16(&mut self, field: &'static str) -> Result<i16, BodyError> {
        let bytes = self.take(2, field)?;
        Ok(i16::from_be_bytes([bytes[0], bytes[1]]))
    }

    fn int32(&mut self, field: &'static str) -> Result<i32, BodyError> {
        let bytes = self.take(4, field)?;
        Ok(i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }

    fn text(&mut self, field: &'static str) -> Result<&'a str, BodyError> {
        let end = self.rest.iter().position(|byte| *byte == 0).ok_or(BodyError { field })?;
        let bytes = self.take(end, field)?;
        self.rest = &self.rest[1..];
        std::str::from_utf8(bytes).map_err(|_| BodyError { field })
    }

    fn end(&self, field: &'static str) -> Result<(), BodyError> {
        if self.rest.is_empty() { Ok(()) } else { Err(BodyError { field }) }
    }
}

/// Reads the text of a `Query`.
///
/// # Errors
///
/// Fails if the text is not terminated, not UTF-8, or followed by other bytes.
///
/// ```
/// assert_eq!(pg::read_query(b"SELECT 1\0")?, "SELECT 1");
/// # Ok::<(), pg::BodyError>(())
/// ```
pub fn read_query(body: &[u8]) -> Result<&str, BodyError> {
    let mut reader = BodyReader { rest: body };
    let text = reader.text("query text")?;
    reader.end("bytes after the query text")?;
    Ok(text)
}

/// Body of a `Parse`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseBody<'a> {
    pub name: &'a str,
    pub query: &'a str,
    /// Count and object ids of the parameter types, unchanged.
    pub types: &'a [u8],
}

/// Reads a `Parse`.
///
/// # Errors
///
/// Fails if a field is missing or the length of the type list does not match its count.
pub fn read_parse(body: &[u8]) -> Result<ParseBody<'_>, BodyError> {
    let mut reader = BodyReader { rest: body };
    let name = reader.text("statement name")?;
    let query = reader.text("statement text")?;
    let types = reader.rest;
    let count = reader.int16("parameter type count")?;
    let count = usize::try_from(count).map_err(|_| BodyError { field: "parameter type count" })?;
    reader.take(count * 4, "parameter types")?;
    reader.end("bytes after the parameter types")?;
    Ok(ParseBody { name, query, types })
}

/// Body of a `Bind`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BindBody<'a> {
    pub portal: &'a str,
    pub statement: &'a str,
    /// Formats and parameters, unchanged.
    pub rest: &'a [u8],
}

/// Reads the names of a `Bind`; formats and parameters are left to the backend server.
///
/// # Errors
///
/// Fails if a name is not terminated or not UTF-8.
pub fn read_bind(body: &[u8]) -> Result<BindBody<'_>, BodyError> {
    let mut reader = BodyReader { rest: body };
    let portal = reader.text("portal name")?;
    let statement = reader.text("statement name")?;
    Ok(BindBody { portal, statement, rest: reader.rest })
}

/// Reads a `Describe` or `Close`: the target kind (`S` for a statement, `P` for a portal) and its name.
///
/// # Errors
///
/// Fails on another target kind, or if the name is not terminated.
pub fn read_target(body: &[u8]) -> Result<(u8, &str), BodyError> {
    let mut reader = BodyReader { rest: body };
    let target = reader.byte("target kind")?;
    if target != b'S' && target != b'P' {
        return Err(BodyError { field: "target kind" });
    }
    let name = reader.text("target name")?;
    reader.end("bytes after the target name")?;
    Ok((target, name))
}

/// Reads an `Execute`: the portal and the row limit (0: no limit).
///
/// # Errors
///
/// Fails if a field is missing.
pub fn read_execute(body: &[u8]) -> Result<(&str, i32), BodyError> {
    let mut reader = BodyReader { rest: body };
    let portal = reader.text("portal name")?;
    let rows = reader.int32("row limit")?;
    reader.end("bytes after the row limit")?;
    Ok((portal, rows))
}

/// Reads the tag of a `CommandComplete`, such as `INSERT 0 1`.
///
/// # Errors
///
/// Fails if the tag is not terminated.
pub fn read_command_tag(body: &[u8]) -> Result<&str, BodyError> {
    BodyReader { rest: body }.text("command tag")
}

/// Reads an `ErrorResponse` or `NoticeResponse`. Invalid UTF-8 is replaced, so that an error in another
/// encoding is still reported.
///
/// # Errors
///
/// Fails if a field is not terminated.
pub fn read_error(body: &[u8]) -> Result<ErrorFields, BodyError> {
    let mut fields = ErrorFields::default();
    let mut reader = BodyReader { rest: body };
    loop {
        let field = reader.byte("error field")?;
        if field == 0 {
            return Ok(fields);
        }
        let end = reader.rest.iter().position(|byte| *byte == 0);
        let end = end.ok_or(BodyError { field: "error text" })?;
        let text = String::from_utf8_lossy(reader.take(end, "error text")?).into_owned();
        reader.byte("error text")?;
        match field {
            // `V` is the severity that is never translated. It follows `S` and replaces it.
            b'S' | b'V' => fields.severity = text,
            b'C' => fields.code = text,
            b'M' => fields.message = text,
            _ => {}
        }
    }
}

/// Reads the transaction status of a `ReadyForQuery`: `I`, `T` or `E`.
///
/// # Errors
///
/// Fails on another status.
pub fn read_ready(body: &[u8]) -> Result<u8, BodyError> {
    match body {
        [status @ (b'I' | b'T' | b'E')] => Ok(*status),
        _ => Err(BodyError { field: "transaction status" }),
    }
}

/// Reads a `DataRow` of text columns.
///
/// # Errors
///
/// Fails if a column is truncated or not UTF-8.
///
/// ```
/// let mut buffer = bytes::BytesMut::new();
/// pg::put_data_row(&mut buffer, &[Some("7"), None]);
/// assert_eq!(pg::read_data_row(&buffer[5..])?, [Some("7".to_owned()), None]);
/// # Ok::<(), pg::BodyError>(())
/// ```
pub fn read_data_row(body: &[u8]) -> Result<Vec<Option<String>>, BodyError> {
    let mut reader = BodyReader { rest: body };
    let count = reader.int16("column count")?;
    let mut columns = Vec::new();
    for _ in 0..count {
        let length = reader.int32("column length")?;
        if length == -1 {
            columns.push(None);
            continue;
        }
        let length = usize::try_from(length).map_err(|_| BodyError { field: "column length" })?;
        let text = std::str::from_utf8(reader.take(length, "column")?);
        columns.push(Some(text.map_err(|_| BodyError { field: "column" })?.to_owned()));
    }
    reader.end("bytes after the columns")?;
    Ok(columns)
}

/// Reads a `BackendKeyData`: the process id and the secret.
///
/// # Errors
///
/// Fails if the process id is missing.
pub fn read_backend_key(body: &[u8]) -> Result<(i32, &[u8]), BodyError> {
    let mut reader = BodyReader { rest: body };
    let process = reader.int32("process")?;
    Ok((process, reader.rest))
}

/// Reads the code of an authentication request; 0 is success.
///
/// # Errors
///
/// Fails if the code is missing.
pub fn read_authentication(body: &[u8]) -> Result<i32, BodyError> {
    BodyReader { rest: body }.int32("authentication code")
}

/// Reads a `ParameterStatus`: name and value.
///
/// # Errors
///
/// Fails if the name or the value is not terminated.
pub fn read_parameter_status(body: &[u8]) -> Result<(&str, &str), BodyError> {
    let mut reader = BodyReader { rest: body };
    Ok((reader.text("parameter name")?, reader.text("parameter value")?))
}
