//! Identifiers within one process.

macro_rules! identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);
    };
}

identifier!(
    /// A client connection.
    SessionId
);
identifier!(
    /// One request forwarded to, or received from, a peer.
    CallId
);
identifier!(
    /// One exchange on a connection to a backend server.
    ExchangeId
);
identifier!(
    /// A lane: the ordered channel to a connection that is pinned for a transaction of a peer's session.
    LaneId
);
identifier!(
    /// One report, fence, promote or follow request to a database.
    ReportId
);
