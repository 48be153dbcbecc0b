//! The part that a database plays in its cluster.

/// Role that a database reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatabaseRole {
    Primary,
    Replica,
}
