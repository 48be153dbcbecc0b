//! Statement classes.

use model::Name;

/// What the proxy has to know of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementClass {
    /// Changes nothing; may go to a replica.
    Read,
    /// May change something.
    Write,
    Begin {
        read_only: bool,
    },
    Commit,
    Rollback,
    /// Handled by the proxy itself.
    Session(SessionCommand),
    /// Empty query.
    Empty,
    /// Not possible through a pool; the text says why.
    Unsupported(&'static str),
}

/// A command that sets or shows a session parameter of the proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionCommand {
    Set { parameter: Name, value: String },
    Show { parameter: Name },
}

/// Classifies the text of one simple query, which may hold several statements: the whole text is a
/// read only if each part is. Also returns a request key given as a `/*request_key='K'*/` comment.
pub fn classify(_text: &str) -> (StatementClass, Option<Name>) {
    (StatementClass::Write, None)
}
