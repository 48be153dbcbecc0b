//! The wire protocol at the edge of the process, as the hub sees it.

use bytes::{Bytes, BytesMut};
use gate::{
    BackendCommand, ClientReply, ClientRequest, DatabaseReport, ErrorCode, LogPoint, SessionState,
};
use model::Name;

/// A message of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientMessage {
    Startup {
        database: Name,
    },
    Request(ClientRequest),
    /// A whole message that is not a valid request; the session goes on.
    Invalid {
        code: ErrorCode,
        text: String,
    },
    Terminate,
}

/// A message of a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendMessage {
    Row(Bytes),
    Done(Bytes),
    Error { code: ErrorCode, text: String },
    Ready { state: SessionState, point: Option<LogPoint> },
}

/// Bytes that cannot be a message; the connection is of no further use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    #[error("a message is longer than {limit} bytes")]
    TooBig { limit: usize },
    #[error("malformed message: {0}")]
    Malformed(String),
}

/// Translates between bytes and messages. Reading takes whole messages off the front of the input and
/// returns `None` when there is no whole one.
pub trait WireCodec {
    /// Reads a message of a client.
    ///
    /// # Errors
    ///
    /// Fails if the input cannot be the start of a message.
    fn read_client(input: &mut BytesMut) -> Result<Option<ClientMessage>, CodecError>;

    /// Reads a message of another node, which speaks as to a database.
    ///
    /// # Errors
    ///
    /// Fails if the input cannot be the start of a message.
    fn read_peer(input: &mut BytesMut) -> Result<Option<ClientMessage>, CodecError>;

    /// Writes the acceptance of a session.
    fn write_accept(output: &mut BytesMut);

    /// Writes an error that ends a session before or instead of a reply.
    fn write_refusal(code: ErrorCode, text: &str, output: &mut BytesMut);

    /// Writes the answer to a request; `point` is for other nodes only.
    fn write_reply(
        reply: &ClientReply,
        state: SessionState,
        point: Option<LogPoint>,
        output: &mut BytesMut,
    );

    /// Writes the first message on a connection to a database.
    fn write_startup(cluster: &Name, node: &Name, database: &Name, output: &mut BytesMut);

    /// Writes a command.
    fn write_command(command: &BackendCommand, output: &mut BytesMut);

    /// Reads a message of a database.
    ///
    /// # Errors
    ///
    /// Fails if the input cannot be the start of a message.
    fn read_backend(input: &mut BytesMut) -> Result<Option<BackendMessage>, CodecError>;

    /// Reads a report out of the rows of an answer.
    fn read_report(rows: &[Bytes]) -> Option<DatabaseReport>;
}
