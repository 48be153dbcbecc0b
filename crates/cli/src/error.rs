//! Errors of commands and their exit codes.

use platform::PlatformError;

/// Kind of a command's failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    Failed,
    Usage,
    /// An input, such as a file or a selector, is invalid.
    Invalid,
    /// Another change was accepted first.
    Conflict,
    /// The platform or a node cannot be reached.
    Unreachable,
}

impl ErrorKind {
    /// Returns the exit code of the process.
    pub fn exit_code(self) -> u8 {
        match self {
            ErrorKind::Failed => 1,
            ErrorKind::Usage => 2,
            ErrorKind::Invalid => 3,
            ErrorKind::Conflict => 4,
            ErrorKind::Unreachable => 5,
        }
    }
}

/// Error of a command.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct CommandError {
    pub kind: ErrorKind,
    /// Empty if the output already describes the error.
    pub message: String,
}

impl CommandError {
    /// Creates an error.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        CommandError { kind, message: message.into() }
    }
}

impl From<PlatformError> for CommandError {
    fn from(error: PlatformError) -> Self {
        let kind = match error {
            PlatformError::Unreachable { .. } => ErrorKind::Unreachable,
            PlatformError::Refused { .. } | PlatformError::Unreadable { .. } => ErrorKind::Failed,
        };
        CommandError::new(kind, error.to_string())
    }
}
