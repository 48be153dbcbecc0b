//! Helpers for the tests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use postgres::{Client, NoTls, SimpleQueryMessage};

/// Polls until a condition is true; panics after 10 s.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

pub fn connect(address: SocketAddr) -> Client {
    try_connect(address).unwrap()
}

pub fn try_connect(address: SocketAddr) -> Result<Client, postgres::Error> {
    postgres::Config::new()
        .host(&address.ip().to_string())
        .port(address.port())
        .user("test")
        .dbname("db")
        .connect(NoTls)
}

/// Runs a simple query and returns the text of all fields of all rows.
#[allow(dead_code)]
pub fn rows(client: &mut Client, sql: &str) -> Result<Vec<Vec<Option<String>>>, String> {
    let messages = client.simple_query(sql).map_err(|error| code(&error))?;
    Ok(messages
        .iter()
        .filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => {
                Some((0..row.len()).map(|at| row.get(at).map(str::to_string)).collect())
            }
            _ => None,
        })
        .collect())
}

/// Runs a simple query and returns the first field.
#[allow(dead_code)]
pub fn first(client: &mut Client, sql: &str) -> Result<String, String> {
    let rows = rows(client, sql)?;
    rows.first().and_then(|row| row.first().cloned().flatten()).ok_or("no row".to_string())
}

/// Returns an error's SQLSTATE, or `closed`.
#[allow(dead_code)]
pub fn code(error: &postgres::Error) -> String {
    error.code().map_or("closed", |code| code.code()).to_string()
}
