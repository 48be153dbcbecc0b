//! Identifiers within one process.

macro_rules! identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);
    };
}

identifier!(
    /// A caller's connection.
    SessionId
);
identifier!(
    /// One request forwarded to, or received from, a peer.
    CallId
);
identifier!(
    /// One exchange on a connection to a backend server.
    RunId
);
identifier!(
    /// A connection that is pinned for a peer's session while a transaction is open.
    LaneId
);
identifier!(
    /// One report, fence, promote or follow request to a database.
    ReportId
);
