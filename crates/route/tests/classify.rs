//! Classification of statements. Guards against writes classified as reads, which a replica would
//! serve or which would be answered without proof, and against session state that leaks to other
//! clients through a pooled connection.

use std::fmt::Write as _;

use proptest::prelude::*;
use route::{StatementClass, classify};

fn table(texts: &[&str]) -> String {
    let mut table = String::new();
    for text in texts {
        let (class, key) = classify(text);
        let key = key.map(|key| format!(" key={key}")).unwrap_or_default();
        let _ = writeln!(table, "{text}\n    {class:?}{key}");
    }
    table
}

#[test]
fn reads_and_writes() {
    insta::assert_snapshot!(table(&[
        "",
        " ; -- nothing\n;",
        "SELECT 1",
        "(select 1) union (select 2)",
        "select 'insert; delete' as \"update\" -- for update",
        "select $$ ; insert $$, $a$ $$ ; delete $a$",
        "select e'\\'; delete from t'",
        "select 'it''s; delete'",
        "select /* /* ; delete */ for update */ 1",
        "select $1, $2 from t where a$b = 1",
        "values (1)",
        "table balances",
        "show server_version",
        "explain delete from t",
        "explain (analyze) delete from t",
        "explain analyze select 1",
        "select * from t for update",
        "select * from t for no key update skip locked",
        "select * from t for key share",
        "SELECT * FROM t FOR SHARE",
        "with d as (delete from t returning *) select * from d",
        "with r as (select 1) select * from r",
        "select * into copy_of_t from t",
        "select nextval('s')",
        "select \"nextval\"('s')",
        "select U&\"\\006eextval\"('s')",
        "select pg_advisory_lock(1)",
        "select pg_try_advisory_xact_lock(1)",
        "select setval('s', 1)",
        "insert into t values (1)",
        "call p()",
        "select 1; select 2",
        "select 1; insert into t values (1)",
        "select 'unterminated",
        "select 1 /* unterminated",
        "create function f() returns int begin atomic select 1; select 2; end; select 1",
    ]));
}

#[test]
fn transactions() {
    insta::assert_snapshot!(table(&[
        "BEGIN",
        "begin isolation level serializable read only",
        "start transaction read only",
        "start transaction",
        "begin; insert into t values (1)",
        "begin; insert into t values (1); commit",
        "insert into t values (1); commit",
        "commit; begin",
        "COMMIT",
        "end",
        "rollback",
        "abort",
        "rollback to savepoint a",
        "savepoint a",
        "commit and chain",
        "commit and no chain",
        "prepare transaction 'x'",
        "commit prepared 'x'",
        "lock table t",
        "declare c cursor for select 1",
        "fetch 5 from c",
    ]));
}

#[test]
fn session_state() {
    insta::assert_snapshot!(table(&[
        "set cicadawick.labels = 'kind=vendor'",
        "SET SESSION cicadawick.Token TO 'abc'",
        "set cicadawick.max_age = 500",
        "set cicadawick.token to default",
        "reset cicadawick.token",
        "show cicadawick.token",
        "set \"cicadawick.labels\" = 'a=b'",
        "set cicadawick.labels",
        "set cicadawick.token = 'a'; select 1",
        "set local work_mem = '1MB'",
        "set transaction read only",
        "set search_path = x",
        "set session authorization bob",
        "reset all",
        "discard all",
        "select set_config('a', 'b', false)",
        "select cicadawick_fence(3, 'me')",
        "listen c",
        "notify c",
        "copy t from stdin",
        "prepare p as select 1",
        "execute p",
        "deallocate p",
        "declare c cursor with hold for select 1",
        "create temp table t (a int)",
        "create or replace temporary view v as select 1",
        "create table temp (a int)",
        "create table pg_temp.t (a int)",
        "select 1 into temp t",
    ]));
}

#[test]
fn request_keys() {
    insta::assert_snapshot!(table(&[
        "/*request_key='order-7'*/ insert into t values (1)",
        "insert into t values (1) /* request_key = 'a b' , route='x' */",
        "insert into t values ('/*request_key=''K''*/')",
        "-- /*request_key='K'*/\ninsert into t values (1)",
        "/*request_key=''*/ insert into t values (1)",
        "/*request_key=K*/ insert into t values (1)",
    ]));
}

proptest! {
    #[test]
    fn classify_never_panics(text in "\\PC*") {
        classify(&text);
    }

    /// Delimiters in random order end strings and comments in every state of the tokenizer.
    #[test]
    fn delimiters_never_panic(parts in prop::collection::vec(
        prop::sample::select(vec!["'", "\"", "$", "$a$", "$$", "/*", "*/", "--", "\n", ";", "\\",
            "e'", "U&\"", "select ", "set ", "cicadawick.x", "=", "(", ")", "é", "begin", "atomic"]),
        0..24,
    )) {
        classify(&parts.concat());
    }

    /// Guards against comments and white space that hide a write.
    #[test]
    fn comments_and_white_space_hide_no_write(
        blank in prop::sample::select(vec![" ", "\n", "/* x */", "--\n"]),
    ) {
        let text = format!("{blank}insert{blank}into{blank}t{blank}values{blank}(1){blank}");
        prop_assert_eq!(classify(&text).0, StatementClass::Write);
    }
}
