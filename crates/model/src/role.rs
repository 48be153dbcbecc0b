//! Role of a database in its cluster.

/// Role of a database, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatabaseRole {
    Primary,
    Replica,
}
