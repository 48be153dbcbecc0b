//! Messages of clients and databases, and the trait that translates them to and from bytes.

use bytes::{Bytes, BytesMut};
use gate::{
    AllotmentGrant, ApiKey, BackendCommand, ClientReply, ClientRequest, DatabaseReport, ErrorCode,
    TermPosition, TransactionState,
};
use model::Name;

/// A message from a client or from another node.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientMessage {
    Startup {
        database: Name,
        /// The client's key, empty if it sent none.
        key: ApiKey,
    },
    Request(ClientRequest),
    /// A complete message that is not a valid request; the session continues.
    Invalid {
        code: ErrorCode,
        text: String,
    },
    Terminate,
}

/// A message from a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendMessage {
    Row(Bytes),
    Done(Bytes),
    Error { code: ErrorCode, text: String },
    Ready { state: TransactionState, position: Option<TermPosition> },
}

/// Input that cannot be a message; the connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    #[error("a message is longer than {limit} bytes")]
    TooBig { limit: usize },
    #[error("malformed message: {0}")]
    Malformed(String),
}

/// Translates between bytes and messages. Each read removes one complete message from the front of the input
/// and returns `None` while there is none.
pub trait WireCodec {
    /// Returns whether a message may end within bytes that were just appended to the input. If not, the input before
    /// them need not be examined again.
    fn may_end_message(appended: &[u8]) -> bool;

    /// Reads a message from a client.
    ///
    /// # Errors
    ///
    /// Fails if the input cannot be the start of a message.
    fn read_client(input: &mut BytesMut) -> Result<Option<ClientMessage>, CodecError>;

    /// Reads a message from another node, which uses the protocol for databases.
    ///
    /// # Errors
    ///
    /// Fails if the input cannot be the start of a message.
    fn read_peer(input: &mut BytesMut) -> Result<Option<ClientMessage>, CodecError>;

    /// Writes the acceptance of a session.
    fn write_accept(output: &mut BytesMut);

    /// Writes an error that ends a session before or instead of a reply.
    fn write_refusal(code: ErrorCode, text: &str, output: &mut BytesMut);

    /// Writes the answer to a request. `position` is given only if another node sent the request.
    fn write_reply(
        reply: &ClientReply,
        state: TransactionState,
        position: Option<TermPosition>,
        output: &mut BytesMut,
    );

    /// Writes the first message on a connection to a database. `caller` is the account that the
    /// connection serves, or the node's name.
    fn write_startup(cluster: &Name, caller: &Name, database: &Name, output: &mut BytesMut);

    /// Writes a command for a database.
    fn write_command(command: &BackendCommand, output: &mut BytesMut);

    /// Reads a message from a database.
    ///
    /// # Errors
    ///
    /// Fails if the input cannot be the start of a message.
    fn read_backend(input: &mut BytesMut) -> Result<Option<BackendMessage>, CodecError>;

    /// Writes the answer to another node's request for tokens.
    fn write_allotments(grants: &[AllotmentGrant], output: &mut BytesMut);

    /// Parses the rows of an answer to a request for tokens; `None` if one is malformed.
    fn read_allotments(rows: &[Bytes]) -> Option<Vec<AllotmentGrant>>;

    /// Parses a report from the rows of an answer; `None` if they hold none.
    fn read_report(rows: &[Bytes]) -> Option<DatabaseReport>;
}
