//! Statement classes.
//!
//! The classifier reads tokens and does not parse the grammar: it must find the exact ends of
//! comments, strings and identifiers, and is conservative about everything else. A statement that it
//! is not sure about is a write, because a write served as a read breaks a guarantee, while a read
//! served as a write only costs a round trip to the primary.

use model::Name;

use crate::token_stream::{Token, TokenStream};

/// Class of a statement, which decides how the proxy serves it.
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
    /// Not supported through a pool, for this reason.
    Unsupported(&'static str),
}

/// A command that sets or shows a session parameter of the proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionCommand {
    Set { parameter: Name, value: String },
    Show { parameter: Name },
}

/// Prefix of the session parameters that the proxy keeps itself.
const PARAMETER_PREFIX: &str = "cicadawick.";

/// Longest request key in bytes; longer ones are ignored.
const MAX_REQUEST_KEY_BYTES: usize = 200;

/// Built-in functions with side effects or with answers that only the primary can give.
const WRITE_FUNCTIONS: &[&str] = &[
    "currval",
    "lastval",
    "nextval",
    "pg_cancel_backend",
    "pg_current_xact_id",
    "pg_export_snapshot",
    "pg_notify",
    "pg_promote",
    "pg_reload_conf",
    "pg_rotate_logfile",
    "pg_switch_wal",
    "pg_terminate_backend",
    "query_to_xml",
    "cursor_to_xml",
    "setval",
    "txid_current",
];

/// Prefixes of the names of such functions.
const WRITE_FUNCTION_PREFIXES: &[&str] = &[
    "dblink",
    "lo_",
    "lowrite",
    "pg_advisory_",
    "pg_create_",
    "pg_drop_",
    "pg_logical_",
    "pg_replication_",
    "pg_stat_reset",
    "pg_try_advisory_",
    "pg_wal_replay_",
];

/// Initial capacity of a statement's token list; growing an empty list costs several allocations for
/// each statement.
const INITIAL_TOKEN_CAPACITY: usize = 32;

/// Classifies the text of one simple query, which may hold several statements: the whole text is a
/// read only if each part is. Also returns a request key given as a `/*request_key='K'*/` comment.
///
/// ```
/// use route::{StatementClass, classify};
/// assert_eq!(classify("SELECT 1").0, StatementClass::Read);
/// assert_eq!(classify("SELECT nextval('s')").0, StatementClass::Write);
/// let (_, key) = classify("/*request_key='order-7'*/ INSERT INTO orders VALUES (7)");
/// assert_eq!(key.as_deref(), Some("order-7"));
/// ```
pub fn classify(text: &str) -> (StatementClass, Option<Name>) {
    let mut stream = TokenStream::new(text);
    let mut statements = vec![Vec::with_capacity(INITIAL_TOKEN_CAPACITY)];
    for token in stream.by_ref() {
        let in_atomic_body = statements.last().is_some_and(|statement| has_atomic_body(statement));
        match token {
            Token::Symbol(';') if !in_atomic_body => statements.push(Vec::new()),
            token => {
                if let Some(statement) = statements.last_mut() {
                    statement.push(token);
                }
            }
        }
    }
    let key = stream.comments().iter().find_map(|comment| request_key(comment));
    // An unterminated quote may hide the rest of the text; the primary reports the error.
    let class = if stream.is_unreadable() {
        StatementClass::Write
    } else {
        combine_classes(statements.iter().map(|statement| classify_statement(statement)).collect())
    };
    (class, key)
}

/// Combines the classes of the statements in one text.
fn combine_classes(mut classes: Vec<StatementClass>) -> StatementClass {
    use StatementClass::{Begin, Commit, Empty, Read, Rollback, Session, Unsupported, Write};
    classes.retain(|class| *class != Empty);
    if classes.len() <= 1 {
        return classes.pop().unwrap_or(Empty);
    }
    if let Some(Unsupported(reason)) = classes.iter().find(|class| matches!(class, Unsupported(_)))
    {
        return Unsupported(reason);
    }
    if classes.iter().any(|class| matches!(class, Session(_))) {
        return Unsupported("a cicadawick parameter must be set or shown in a query of its own");
    }
    let controls = classes.iter().filter(|class| matches!(class, Begin { .. } | Commit | Rollback));
    let control_count = controls.count();
    let last = classes.len() - 1;
    match (control_count, &classes[0], &classes[last]) {
        (0, ..) if classes.iter().all(|class| *class == Read) => Read,
        (0, ..) => Write,
        (1, Begin { read_only }, _) => Begin { read_only: *read_only },
        (1, _, Commit) => Commit,
        (1, _, Rollback) => Rollback,
        (2, Begin { .. }, Commit | Rollback) => Write,
        _ => Unsupported("transaction control in the middle of a query with several statements"),
    }
}

fn classify_statement(tokens: &[Token<'_>]) -> StatementClass {
    use StatementClass::{Begin, Commit, Empty, Read, Rollback, Session, Unsupported, Write};
    let start = tokens.iter().take_while(|token| **token == Token::Symbol('(')).count();
    let Some(first) = tokens.get(start) else {
        return if start == 0 { Empty } else { Write };
    };
    if let Some(reason) = refused_name_reason(tokens) {
        return Unsupported(reason);
    }
    let words = StatementWords(&tokens[start..]);
    let Token::Word(_) = first else {
        return Write;
    };
    match words.at(0).as_str() {
        "select" | "with" | "values" | "table" => classify_query(words),
        "explain" if words.has("analyze") => classify_query(words),
        "explain" => Read,
        "show" => match parameter_name(&tokens[start + 1..]) {
            Some((name, [])) => Session(SessionCommand::Show { parameter: name }),
            _ => Read,
        },
        "set" | "reset" => classify_set(words),
        "begin" => Begin { read_only: words.has_sequence(&["read", "only"]) },
        "start" if words.is_at(1, "transaction") => {
            Begin { read_only: words.has_sequence(&["read", "only"]) }
        }
        "commit" | "end" | "rollback" if words.is_at(1, "prepared") => {
            Unsupported("two-phase commit is not available through a pool")
        }
        "commit" | "end" | "rollback" | "abort"
            if words.has_sequence(&["and", "chain"])
                && !words.has_sequence(&["and", "no", "chain"]) =>
        {
            Unsupported("AND CHAIN is not available through a pool")
        }
        "commit" | "end" => Commit,
        "rollback" if words.has("to") => Write,
        "rollback" | "abort" => Rollback,
        "listen" | "unlisten" | "notify" => {
            Unsupported("LISTEN and NOTIFY need a connection of their own")
        }
        "copy" => Unsupported("COPY is not available through a pool"),
        "prepare" if words.is_at(1, "transaction") => {
            Unsupported("two-phase commit is not available through a pool")
        }
        "prepare" | "deallocate" | "execute" => {
            Unsupported("use the extended query protocol for prepared statements")
        }
        "discard" | "load" => Unsupported("the connection's state is shared in a pool"),
        "declare" if words.has_sequence(&["with", "hold"]) => {
            Unsupported("a cursor WITH HOLD outlives its transaction")
        }
        "create" if words.is_temporary() => {
            Unsupported("a temporary object belongs to one connection")
        }
        _ => Write,
    }
}

/// Classifies a query, which is a read unless a part of it changes data.
fn classify_query(words: StatementWords<'_, '_>) -> StatementClass {
    let into_temporary = ["temp", "temporary"].iter().any(|temporary| {
        words.has_sequence(&["into", temporary])
            || words.has_sequence(&["into", "local", temporary])
            || words.has_sequence(&["into", "global", temporary])
    });
    if into_temporary {
        return StatementClass::Unsupported("a temporary object belongs to one connection");
    }
    let changes = ["into", "insert", "update", "delete", "merge", "create", "refresh", "execute"]
        .iter()
        .any(|word| words.has(word));
    let locks = words.has_sequence(&["for", "share"]) || words.has_sequence(&["key", "share"]);
    let calls = words.names().any(|name| is_write_function(&name));
    if changes || locks || calls { StatementClass::Write } else { StatementClass::Read }
}

fn classify_set(words: StatementWords<'_, '_>) -> StatementClass {
    use StatementClass::{Read, Session, Unsupported};
    let reset = words.is_at(0, "reset");
    let has_session_scope = !reset && words.is_at(1, "session") && !words.is_at(2, "authorization");
    let name_at = if has_session_scope { 2 } else { 1 };
    if let Some((parameter, rest)) = parameter_name(&words.0[name_at.min(words.0.len())..]) {
        if reset && rest.is_empty() {
            return Session(SessionCommand::Set { parameter, value: String::new() });
        }
        let assigned = match rest {
            [Token::Symbol('='), value @ ..] => Some(value),
            [Token::Word(to), value @ ..] if to.eq_ignore_ascii_case("to") => Some(value),
            _ => None,
        };
        return match assigned.and_then(parameter_value) {
            Some(value) => Session(SessionCommand::Set { parameter, value }),
            None => Unsupported("a cicadawick parameter needs the form SET name = 'value'"),
        };
    }
    if !reset
        && (words.is_at(1, "local")
            || words.is_at(1, "transaction")
            || words.is_at(1, "constraints"))
    {
        return Read;
    }
    Unsupported("a pool cannot keep this parameter; use SET LOCAL in a transaction")
}

/// Reads `cicadawick.name` and returns the rest.
fn parameter_name<'t, 's>(tokens: &'t [Token<'s>]) -> Option<(Name, &'t [Token<'s>])> {
    match tokens {
        [Token::Word(prefix), Token::Symbol('.'), Token::Word(name), rest @ ..]
            if prefix.eq_ignore_ascii_case("cicadawick") =>
        {
            Some((format!("{PARAMETER_PREFIX}{}", name.to_ascii_lowercase()).into(), rest))
        }
        [Token::Identifier(whole), rest @ ..] if whole.starts_with(PARAMETER_PREFIX) => {
            Some((whole.as_ref().into(), rest))
        }
        _ => None,
    }
}

fn parameter_value(tokens: &[Token<'_>]) -> Option<String> {
    match tokens {
        [Token::Text(text)] => Some(text.clone()),
        [Token::Word(word)] if word.eq_ignore_ascii_case("default") => Some(String::new()),
        [Token::Word(word)] | [Token::Number(word)] => Some((*word).to_string()),
        _ => None,
    }
}

/// Returns why a statement is refused for the names in it: those that would let a client change the
/// cluster's leadership or the state of a pooled connection. A session-level lock would stay with a
/// connection that other sessions use next.
fn refused_name_reason(tokens: &[Token<'_>]) -> Option<&'static str> {
    StatementWords(tokens).names().find_map(|name| match name.as_str() {
        "cicadawick_fence" | "cicadawick_promote" | "cicadawick_follow" => {
            Some("only the proxy itself orders promotions")
        }
        "pg_advisory_lock"
        | "pg_advisory_lock_shared"
        | "pg_advisory_unlock"
        | "pg_advisory_unlock_all"
        | "pg_advisory_unlock_shared"
        | "pg_try_advisory_lock"
        | "pg_try_advisory_lock_shared" => {
            Some("a session-level lock stays with one connection; use pg_advisory_xact_lock")
        }
        "pg_temp" => Some("a temporary object belongs to one connection"),
        "set_config" => Some("a pool cannot keep this parameter; use SET LOCAL in a transaction"),
        _ => None,
    })
}

fn is_write_function(name: &str) -> bool {
    WRITE_FUNCTIONS.contains(&name)
        || WRITE_FUNCTION_PREFIXES.iter().any(|prefix| name.starts_with(prefix))
}

/// Returns whether the statement has a SQL function body, `BEGIN ATOMIC ... END`, in which
/// semicolons do not end the statement.
fn has_atomic_body(tokens: &[Token<'_>]) -> bool {
    StatementWords(tokens).is_at(0, "create")
        && StatementWords(tokens).has_sequence(&["begin", "atomic"])
}

fn request_key(comment: &str) -> Option<Name> {
    comment.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        let key = value.trim().strip_prefix('\'')?.strip_suffix('\'')?;
        let valid = !key.is_empty()
            && key.len() <= MAX_REQUEST_KEY_BYTES
            && !key.contains(['\'', '\\', '\0']);
        (name.trim() == "request_key" && valid).then(|| key.into())
    })
}

/// Word lookups in the tokens of one statement.
#[derive(Clone, Copy)]
struct StatementWords<'t, 's>(&'t [Token<'s>]);

impl StatementWords<'_, '_> {
    fn at(&self, index: usize) -> String {
        match self.0.get(index) {
            Some(Token::Word(word)) => word.to_ascii_lowercase(),
            _ => String::new(),
        }
    }

    fn is_at(&self, index: usize, word: &str) -> bool {
        is_word(self.0.get(index), word)
    }

    fn has(&self, word: &str) -> bool {
        self.0.iter().any(|token| is_word(Some(token), word))
    }

    fn has_sequence(&self, words: &[&str]) -> bool {
        self.0
            .windows(words.len())
            .any(|window| window.iter().zip(words).all(|(token, word)| is_word(Some(token), word)))
    }

    /// Returns the words and quoted identifiers, in lower case.
    fn names(&self) -> impl Iterator<Item = String> {
        self.0.iter().filter_map(|token| match token {
            Token::Word(word) => Some(word.to_ascii_lowercase()),
            Token::Identifier(name) => Some(name.to_ascii_lowercase()),
            _ => None,
        })
    }

    /// Returns whether a CREATE statement makes a temporary table, view or sequence.
    fn is_temporary(&self) -> bool {
        let object = self.0.iter().position(|token| {
            ["table", "view", "sequence"].iter().any(|word| is_word(Some(token), word))
        });
        let prefix = StatementWords(&self.0[..object.unwrap_or(0)]);
        prefix.has("temp") || prefix.has("temporary")
    }
}

fn is_word(token: Option<&Token<'_>>, word: &str) -> bool {
    matches!(token, Some(Token::Word(found)) if found.eq_ignore_ascii_case(word))
}
