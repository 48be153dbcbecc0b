//! Framing, encoding and decoding of the PostgreSQL v3 protocol, on top of the `pgwire` codec.
//!
//! [`FrameSplitter`] splits a byte stream into frames (type byte, length, body) without decoding them;
//! [`split_first_packet`] does the same for the untyped packets that open a connection. The `put_*`
//! functions encode messages with `pgwire`. The `read_*` functions decode the few bodies that a proxy
//! must understand. They do not use `pgwire`, whose decoders assume that a body is long enough for its
//! fields; data from a network may be shorter.
//!
//! [`StatementTable`] and [`ConnectionStatements`] make the extended protocol work over shared
//! connections: the first belongs to a client's session, the second to a connection to a backend
//! server.

mod extended;
mod frame;
mod message;
mod options;
mod read;
mod startup;

pub use extended::{
    ConnectionStatements, ExtendedError, ExtendedRequest, STATEMENT_PREFIX, StatementLimits,
    StatementTable,
};
pub use frame::{AnswerScanner, Frame, FrameError, FrameSplitter, peek_header};
pub use message::{
    ErrorFields, Severity, cancel_request, put_authentication_ok, put_backend_key, put_close,
    put_command_complete, put_copy_fail, put_data_row, put_error, put_negotiate_version,
    put_notice, put_parameter_status, put_parse, put_query, put_ready, put_row_description,
    put_startup, put_sync, put_terminate,
};
pub use options::{OptionsError, split_options};
pub use read::{
    BindBody, BodyError, ParseBody, read_authentication, read_backend_key, read_bind,
    read_command_tag, read_data_row, read_error, read_execute, read_parameter_status, read_parse,
    read_query, read_ready, read_target,
};
pub use startup::{FirstPacket, StartupError, split_first_packet};

/// Message type bytes. The same letter may mean different messages in the two directions.
pub mod kind {
    // From the client.
    pub const QUERY: u8 = b'Q';
    pub const PARSE: u8 = b'P';
    pub const BIND: u8 = b'B';
    pub const DESCRIBE: u8 = b'D';
    pub const EXECUTE: u8 = b'E';
    pub const CLOSE: u8 = b'C';
    pub const FLUSH: u8 = b'H';
    pub const SYNC: u8 = b'S';
    pub const TERMINATE: u8 = b'X';
    pub const FUNCTION_CALL: u8 = b'F';
    // In both directions.
    pub const COPY_DATA: u8 = b'd';
    pub const COPY_DONE: u8 = b'c';
    pub const COPY_FAIL: u8 = b'f';
    // From the backend server.
    pub const AUTHENTICATION: u8 = b'R';
    pub const PARAMETER_STATUS: u8 = b'S';
    pub const BACKEND_KEY: u8 = b'K';
    pub const READY: u8 = b'Z';
    pub const PARSE_COMPLETE: u8 = b'1';
    pub const BIND_COMPLETE: u8 = b'2';
    pub const CLOSE_COMPLETE: u8 = b'3';
    pub const COMMAND_COMPLETE: u8 = b'C';
    pub const EMPTY_QUERY: u8 = b'I';
    pub const DATA_ROW: u8 = b'D';
    pub const ROW_DESCRIPTION: u8 = b'T';
    pub const NO_DATA: u8 = b'n';
    pub const ERROR: u8 = b'E';
    pub const NOTICE: u8 = b'N';
    pub const NOTIFICATION: u8 = b'A';
    pub const COPY_IN: u8 = b'G';
    pub const COPY_OUT: u8 = b'H';
    pub const COPY_BOTH: u8 = b'W';
    pub const PORTAL_SUSPENDED: u8 = b's';
}
