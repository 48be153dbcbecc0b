//! From a caller's request to a database: what the statement is, which selector decides, which state
//! the session must see, and which database may serve it.

mod classify;
mod policy;
mod token;
mod token_stream;

pub use classify::{SessionCommand, StatementClass, classify};
pub use policy::{
    DatabaseHint, RouteChoice, SelectorTable, WorkPolicy, choose_database, replica_obstacle,
};
pub use token::{SessionToken, TokenError, TokenKey, TokenKeys};
