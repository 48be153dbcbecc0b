//! Start-up handshake of a connection to a backend server.

use bytes::{Bytes, BytesMut};
use pg::{Frame, kind};

/// Largest message of a backend server that is parsed as a whole. Larger rows are relayed in parts.
pub(crate) const SERVER_MESSAGE_LIMIT: usize = 1 << 20;

/// State of a handshake: the cancellation key, once received.
#[derive(Debug, Default)]
pub(crate) struct ServerHandshake {
    pub(crate) process_id: i32,
    pub(crate) secret: Vec<u8>,
}

/// Builds the start-up packet.
pub(crate) fn startup_packet(user: &str, catalog: &str) -> Bytes {
    let mut packet = BytesMut::new();
    let parameters = [("user", user), ("database", catalog), ("application_name", "cicadawick")];
    pg::put_startup(&mut packet, &parameters);
    packet.freeze()
}

impl ServerHandshake {
    /// Processes a message; returns whether the connection is ready.
    ///
    /// # Errors
    ///
    /// Returns why the connection cannot be used.
    pub(crate) fn message(&mut self, frame: &Frame) -> Result<bool, String> {
        match frame.kind {
            kind::AUTHENTICATION => match pg::read_authentication(frame.body()) {
                Ok(0) => Ok(false),
                Ok(method) => Err(format!("authentication method {method} is not supported")),
                Err(error) => Err(error.to_string()),
            },
            kind::BACKEND_KEY => {
                let key = pg::read_backend_key(frame.body()).map_err(|error| error.to_string())?;
                self.process_id = key.0;
                self.secret = key.1.to_vec();
                Ok(false)
            }
            kind::ERROR => match pg::read_error(frame.body()) {
                Ok(error) => Err(format!("{} (SQLSTATE {})", error.message, error.code)),
                Err(error) => Err(error.to_string()),
            },
            kind::READY => Ok(true),
            _ => Ok(false),
        }
    }
}
