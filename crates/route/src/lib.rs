//! Routing of requests: statement classes, selectors, session tokens and the choice of a database.

mod classify;
mod policy;
mod token;
mod token_stream;

pub use classify::{SessionCommand, StatementClass, classify};
pub use policy::{
    DatabaseHint, RequestPolicy, RouteChoice, SelectorTable, choose_database, replica_obstacle,
};
pub use token::{SessionToken, TokenError, TokenKey, TokenKeys};
