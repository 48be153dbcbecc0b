//! Errors of invalid files. Guards against errors that lack the position, the key or the accepted
//! range, and against validation checks that are lost.

use config::{ConfigError, ExampleFile, parse_fleet, parse_settings, render_example};

fn format_errors<T>(result: Result<T, Vec<ConfigError>>) -> String {
    match result {
        Ok(_) => "accepted\n".to_string(),
        Err(errors) => errors.iter().map(|error| format!("{error}\n")).collect(),
    }
}

fn settings(text: &str) -> String {
    format_errors(parse_settings("s.jsonc", text))
}

fn fleet(text: &str) -> String {
    format_errors(parse_fleet("f.jsonc", text, 1))
}

/// Errors of a configuration with one valid cluster and the given other keys.
fn fleet_with(rest: &str) -> String {
    fleet(&format!(
        r#"{{ "clusters": [{{ "name": "billing-1", "databases": [
  {{ "name": "a", "data_centre": "n", "address": "10.0.0.1:5432", "slots": 2, "connections": 16 }}
]}}],
{rest} }}"#
    ))
}

#[test]
fn syntax_errors() {
    insta::assert_snapshot!(settings("{\n  \"name\": \"vm-1\" \"peers\": []\n}"));
    insta::assert_snapshot!(settings("{ 'name': \"vm-1\" }"));
    insta::assert_snapshot!(settings(""));
    insta::assert_snapshot!(settings("[1, 2]"));
}

#[test]
fn settings_with_missing_and_unknown_keys() {
    insta::assert_snapshot!(settings(
        "// node\n{\n  \"nam\": \"vm-1\",\n  \"data_centre\": \"north\", \"zzzzzzzz\": 1,\n  \
         \"data_centre\": \"south\"\n}"
    ));
}

#[test]
fn settings_with_wrong_types_and_ranges() {
    let text = render_example(ExampleFile::Settings)
        .replace("\"vm-1\"", "\"vm 1\"")
        .replace("\"0.0.0.0:5432\"", "\"localhost:5432\"")
        .replace("\"10.0.0.11:7400\"", "\"0.0.0.0:7400\"")
        .replace("\"10.0.0.13:7400\"", "7400")
        .replace("\"caller_limit\": 20000", "\"caller_limit\": 0")
        .replace("\"request_limit_bytes\": 1048576", "\"request_limit_bytes\": 1.5")
        .replace("\"drain_timeout_ms\": 30000", "\"drain_timeout_ms\": \"30 s\"")
        .replace("\"log_level\": \"info\"", "\"log_level\": \"verbose\"");
    insta::assert_snapshot!(settings(&text));
}

#[test]
fn settings_with_one_port_twice() {
    let text = render_example(ExampleFile::Settings).replace("10.0.0.11:7401", "10.0.0.11:5432");
    insta::assert_snapshot!(settings(&text));
}

#[test]
fn duplicate_names_and_addresses() {
    insta::assert_snapshot!(fleet(
        r#"{ "clusters": [
  { "name": "one", "databases": [
    { "name": "a", "data_centre": "n", "address": "10.0.0.1:5432", "slots": 2, "connections": 16 },
    { "name": "a", "data_centre": "n", "address": "10.0.0.2:5432", "slots": 2, "connections": 16 }
  ]},
  { "name": "one", "databases": [
    { "name": "a", "data_centre": "n", "address": "10.0.0.1:5432", "slots": 2, "connections": 16 }
  ]}
]}"#
    ));
}

#[test]
fn empty_clusters_and_slots_above_connections() {
    insta::assert_snapshot!(fleet(
        r#"{ "clusters": [
  { "name": "one", "databases": [] },
  { "name": "two", "databases": [
    { "name": "a", "data_centre": "n", "address": "10.0.0.1:5432", "slots": 20, "connections": 16 }
  ]}
]}"#
    ));
    insta::assert_snapshot!(fleet(r#"{ "clusters": [] }"#));
}

#[test]
fn selectors_that_do_not_parse() {
    insta::assert_snapshot!(fleet_with(
        r#""callers": [{ "matches": "user in (a, b c)", "labels": { "kind": "x y", "k k": "v" } }],
"selectors": [
  { "name": "é", "matches": "" },
  { "name": "s", "matches": "kind in (vendor, kiosk", "rank": "urgnt", "servers": "disk=fäst" },
  { "name": "t", "matches": "kind=a, kind=\"b\"" }
]"#
    ));
}

#[test]
fn unreachable_selectors() {
    insta::assert_snapshot!(fleet_with(
        r#""selectors": [
  { "name": "a", "matches": "kind in (x, y)" },
  { "name": "b", "matches": "kind in (y,x)" },
  { "name": "c", "matches": "town=t, kind in (x, y)" },
  { "name": "c", "matches": "town=t" },
  { "name": "d", "matches": "" },
  { "name": "e", "matches": "other" }
]"#
    ));
}

#[test]
fn minimum_shares_above_the_limit() {
    insta::assert_snapshot!(fleet_with(
        r#""ranks": { "urgent": { "floor_percent": 50 }, "interactive": { "floor_percent": 35 } }"#
    ));
    insta::assert_snapshot!(fleet_with(
        r#""ranks": { "urgent": { "floor_percent": 91, "queue_limit": 4096 }, "batch": 3 }"#
    ));
}

#[test]
fn wrong_shapes() {
    insta::assert_snapshot!(fleet_with(
        r#""callers": { "matches": "user=a" },
"selectors": ["a", null, { "name": 5, "matches": true, "durable": "yes", "max_age_ms": -1 }],
"ranks": []"#
    ));
}

#[test]
fn accepted_settings_and_defaults() {
    let text = r#"{
  "name": "vm-1", "data_centre": "north", "caller_address": "0.0.0.0:5432",
  "peer_address": "10.0.0.1:7400", "admin_address": "10.0.0.1:7401", // trailing comma
  "platform_address": "10.0.0.2:8500",
}"#;
    insta::assert_debug_snapshot!(parse_settings("s.jsonc", text).unwrap());
}

#[test]
fn accepted_fleet() {
    let text = render_example(ExampleFile::Fleet);
    insta::assert_debug_snapshot!(parse_fleet("f.jsonc", &text, 3).unwrap());
}

#[test]
fn documented_examples() {
    insta::assert_snapshot!(render_example(ExampleFile::Settings));
    insta::assert_snapshot!(render_example(ExampleFile::Fleet));
}
