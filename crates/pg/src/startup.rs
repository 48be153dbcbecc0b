//! The untyped packets that open a connection.

use bytes::{Bytes, BytesMut};

/// Maximum size of a first packet, as in PostgreSQL's `MAX_STARTUP_PACKET_LENGTH`.
const MAX_FIRST_PACKET_BYTES: usize = 10_000;

const SSL_CODE: u32 = 80_877_103;
const GSS_CODE: u32 = 80_877_104;
const CANCEL_CODE: u32 = 80_877_102;

/// First packet of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FirstPacket {
    /// Requests TLS. The answer is one byte, after which another first packet follows.
    SslRequest,
    /// Requests GSSAPI encryption, with the same exchange as for TLS.
    GssEncRequest,
    /// Requests to cancel the request in progress on another connection.
    Cancel { process: i32, secret: Bytes },
    /// Opens a session of protocol 3.`minor`.
    Startup { minor: u16, parameters: Vec<(String, String)> },
}

/// Error for a first packet that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartupError {
    #[error("invalid length of startup packet")]
    BadLength,
    #[error("unsupported frontend protocol {major}.{minor}: server supports 3.0")]
    BadVersion { major: u16, minor: u16 },
    #[error("invalid startup packet layout: expected terminator as last byte")]
    BadLayout,
}

impl StartupError {
    /// Returns the SQLSTATE that reports the error to a client.
    pub fn code(&self) -> &'static str {
        match self {
            StartupError::BadVersion { .. } => "0A000",
            StartupError::BadLength | StartupError::BadLayout => "08P01",
        }
    }
}

/// Removes the first packet from the buffer, if it is complete.
///
/// # Errors
///
/// Fails on a length out of range, a protocol version other than 3, or a malformed body.
///
/// ```
/// let mut buffer = bytes::BytesMut::new();
/// pg::put_startup(&mut buffer, &[("user", "ndapewa"), ("database", "billing")]);
/// let packet = pg::split_first_packet(&mut buffer)?;
/// assert!(matches!(packet, Some(pg::FirstPacket::Startup { minor: 0, .. })));
/// # Ok::<(), pg::StartupError>(())
/// ```
pub fn split_first_packet(buffer: &mut BytesMut) -> Result<Option<FirstPacket>, StartupError> {
    let Some(length) = read_u32(buffer, 0) else { return Ok(None) };
    let length = length as usize;
    if !(8..=MAX_FIRST_PACKET_BYTES).contains(&length) {
        return Err(StartupError::BadLength);
    }
    if buffer.len() < length {
        return Ok(None);
    }
    let packet = buffer.split_to(length).freeze();
    let code = read_u32(&packet, 4).ok_or(StartupError::BadLength)?;
    match code {
        SSL_CODE => Ok(Some(FirstPacket::SslRequest)),
        GSS_CODE => Ok(Some(FirstPacket::GssEncRequest)),
        CANCEL_CODE => {
            let process = read_u32(&packet, 8).ok_or(StartupError::BadLength)? as i32;
            Ok(Some(FirstPacket::Cancel { process, secret: packet.slice(12..) }))
        }
        version => {
            let (major, minor) = ((version >> 16) as u16, version as u16);
            if major != 3 {
                return Err(StartupError::BadVersion { major, minor });
            }
            let parameters = read_parameters(&packet[8..])?;
            Ok(Some(FirstPacket::Startup { minor, parameters }))
        }
    }
}

fn read_parameters(mut body: &[u8]) -> Result<Vec<(String, String)>, StartupError> {
    let mut parameters = Vec::new();
    loop {
        let name = take_text(&mut body)?;
        if name.is_empty() {
            return if body.is_empty() { Ok(parameters) } else { Err(StartupError::BadLayout) };
        }
        let value = take_text(&mut body)?;
        parameters.push((name, value));
    }
}

fn take_text(body: &mut &[u8]) -> Result<String, StartupError> {
    let end = body.iter().position(|byte| *byte == 0).ok_or(StartupError::BadLayout)?;
    let text = std::str::from_utf8(&body[..end]).map_err(|_| StartupError::BadLayout)?.to_owned();
    *body = &body[end + 1..];
    Ok(text)
}

fn read_u32(buffer: &[u8], at: usize) -> Option<u32> {
    let bytes = buffer.get(at..at + 4)?;
    Some(u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
}
