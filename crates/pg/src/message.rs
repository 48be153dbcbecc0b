//! Encoding of messages with the `pgwire` codec.

use bytes::{BufMut, Bytes, BytesMut};
use pgwire::messages::Message;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::copy::CopyFail;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::extendedquery::{Close, Sync};
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, NoticeResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, ParameterStatus, SecretKey, Startup,
};
use pgwire::messages::terminate::Terminate;

/// Object id of the type `text`.
const TEXT_TYPE_OID: u32 = 25;

/// The fields of an error or notice that the proxy reads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ErrorFields {
    /// Such as `ERROR` or `FATAL`.
    pub severity: String,
    /// SQLSTATE.
    pub code: String,
    pub message: String,
}

/// Severity of an error or notice that the proxy sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    Notice,
    Error,
    /// The connection is closed after the message.
    Fatal,
}

impl Severity {
    fn name(self) -> &'static str {
        match self {
            Severity::Notice => "NOTICE",
            Severity::Error => "ERROR",
            Severity::Fatal => "FATAL",
        }
    }
}

fn put<M: Message>(buffer: &mut BytesMut, message: M) {
    // The encoders of these messages only append to the buffer and cannot fail.
    let encoded = message.encode(buffer);
    debug_assert!(encoded.is_ok());
}

/// Removes NUL bytes, which terminate a string in the protocol.
fn strip_nul(text: &str) -> String {
    text.replace('\0', "")
}

/// Appends `AuthenticationOk`.
pub fn put_authentication_ok(buffer: &mut BytesMut) {
    put(buffer, Authentication::Ok);
}

/// Appends a `ParameterStatus`.
pub fn put_parameter_status(buffer: &mut BytesMut, name: &str, value: &str) {
    put(buffer, ParameterStatus::new(strip_nul(name), strip_nul(value)));
}

/// Appends a `BackendKeyData`.
pub fn put_backend_key(buffer: &mut BytesMut, process: i32, secret: i32) {
    put(buffer, BackendKeyData::new(process, SecretKey::I32(secret)));
}

/// Appends a `ReadyForQuery`. `status` is `I`, `T` or `E`; any other byte is sent as `I`.
pub fn put_ready(buffer: &mut BytesMut, status: u8) {
    let status = match status {
        b'T' => TransactionStatus::Transaction,
        b'E' => TransactionStatus::Error,
        _ => TransactionStatus::Idle,
    };
    put(buffer, ReadyForQuery::new(status));
}

/// Appends a `NegotiateProtocolVersion` that offers protocol 3.0 and lists the unsupported options.
pub fn put_negotiate_version(buffer: &mut BytesMut, unsupported: Vec<String>) {
    put(buffer, NegotiateProtocolVersion::new(0, unsupported));
}

fn error_fields(severity: Severity, code: &str, message: &str) -> Vec<(u8, String)> {
    vec![
        (b'S', severity.name().to_owned()),
        (b'V', severity.name().to_owned()),
        (b'C', strip_nul(code)),
        (b'M', strip_nul(message)),
    ]
}

/// Appends an `ErrorResponse`.
///
/// ```
/// let mut buffer = bytes::BytesMut::new();
/// pg::put_error(&mut buffer, pg::Severity::Error, "WK001", "deadline cannot be met");
/// let fields = pg::read_error(&buffer[5..])?;
/// assert_eq!((fields.severity.as_str(), fields.code.as_str()), ("ERROR", "WK001"));
/// # Ok::<(), pg::BodyError>(())
/// ```
pub fn put_error(buffer: &mut BytesMut, severity: Severity, code: &str, message: &str) {
    put(buffer, ErrorResponse::new(error_fields(severity, code, message)));
}

/// Appends a `NoticeResponse`.
pub fn put_notice(buffer: &mut BytesMut, code: &str, message: &str) {
    put(buffer, NoticeResponse::new(error_fields(Severity::Notice, code, message)));
}

/// Appends a `RowDescription` of text columns.
pub fn put_row_description(buffer: &mut BytesMut, names: &[&str]) {
    let columns = names.iter().map(|name| {
        // Text has a variable size (-1) and no type modifier (-1).
        FieldDescription::new(strip_nul(name), 0, 0, TEXT_TYPE_OID, -1, -1, 0)
    });
    put(buffer, RowDescription::new(columns.collect()));
}

/// Appends a `DataRow` of text columns.
pub fn put_data_row(buffer: &mut BytesMut, columns: &[Option<&str>]) {
    let mut data = BytesMut::new();
    for column in columns {
        match column {
            Some(text) => {
                data.put_i32(text.len() as i32);
                data.put_slice(text.as_bytes());
            }
            None => data.put_i32(-1),
        }
    }
    put(buffer, DataRow::new(data, columns.len() as i16));
}

/// Appends a `CommandComplete`.
pub fn put_command_complete(buffer: &mut BytesMut, tag: &str) {
    put(buffer, CommandComplete::new(strip_nul(tag)));
}

/// Appends a `Query`.
pub fn put_query(buffer: &mut BytesMut, text: &str) {
    put(buffer, Query::new(strip_nul(text)));
}

/// Appends a `Parse`; `types` are the count and object ids as in [`crate::ParseBody`].
pub fn put_parse(buffer: &mut BytesMut, name: &str, query: &str, types: &[u8]) {
    // Written by hand: the type list is forwarded unchanged, and the codec has no way to encode that.
    let types = if types.is_empty() { &[0, 0] } else { types };
    buffer.put_u8(crate::kind::PARSE);
    buffer.put_i32((4 + name.len() + 1 + query.len() + 1 + types.len()) as i32);
    for text in [name, query] {
        buffer.put_slice(text.as_bytes());
        buffer.put_u8(0);
    }
    buffer.put_slice(types);
}

/// Appends a `Close` of a statement (`S`) or portal (`P`).
pub fn put_close(buffer: &mut BytesMut, target: u8, name: &str) {
    put(buffer, Close::new(target, Some(strip_nul(name))));
}

/// Appends a `Sync`.
pub fn put_sync(buffer: &mut BytesMut) {
    put(buffer, Sync::new());
}

/// Appends a `CopyFail`.
pub fn put_copy_fail(buffer: &mut BytesMut, message: &str) {
    put(buffer, CopyFail::new(strip_nul(message)));
}

/// Appends a `Terminate`.
pub fn put_terminate(buffer: &mut BytesMut) {
    put(buffer, Terminate::new());
}

/// Appends the startup packet of protocol 3.0.
pub fn put_startup(buffer: &mut BytesMut, parameters: &[(&str, &str)]) {
    let mut startup = Startup::new();
    startup.parameters =
        parameters.iter().map(|(name, value)| (strip_nul(name), strip_nul(value))).collect();
    put(buffer, startup);
}

/// Builds the packet that cancels the query in progress on a connection; `secret` is the one from the
/// connection's `BackendKeyData`.
pub fn cancel_request(process: i32, secret: &[u8]) -> Bytes {
    let mut buffer = BytesMut::new();
    let secret = SecretKey::Bytes(Bytes::copy_from_slice(secret));
    put(&mut buffer, CancelRequest::new(process, secret));
    buffer.freeze()
}
