//! Examples of both files with documentation in comments, generated from the schema.

use std::fmt::Write;

use capnp::introspect::{Introspect, TypeVariant};
use capnp::schema::StructSchema;
use schema::annotations_capnp::FieldKind;

use crate::parser::key_specs;

/// A kind of file that has an example.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExampleFile {
    /// Settings of one node.
    Settings,
    /// The operators' configuration.
    Fleet,
}

/// Generates an example with all keys. Comments give the meaning, unit, range and default of each key.
///
/// ```
/// let text = config::render_example(config::ExampleFile::Settings);
/// assert!(config::parse_settings("example.jsonc", &text).is_ok());
/// ```
pub fn render_example(file: ExampleFile) -> String {
    let root = match file {
        ExampleFile::Settings => schema::settings_capnp::node_settings::Owned::introspect(),
        ExampleFile::Fleet => schema::fleet_capnp::fleet_config::Owned::introspect(),
    };
    let mut text = String::new();
    if let TypeVariant::Struct(raw) = root.which() {
        // Reading the compiled-in schema fails only if the crates do not match. The tests that
        // parse the examples would then fail.
        let _ = render_struct(&mut text, StructSchema::new(raw), 0);
    }
    text.push('\n');
    text
}

fn render_struct(text: &mut String, schema: StructSchema, depth: usize) -> capnp::Result<()> {
    text.push_str("{\n");
    let indent = "  ".repeat(depth + 1);
    let specs = key_specs(schema)?;
    for (index, spec) in specs.iter().enumerate() {
        let default = spec.default_json()?;
        let _ = writeln!(text, "{indent}// {}", spec.doc);
        let mut value_comment = capitalize(&spec.expected_value()?);
        match &default {
            Some(default) => {
                let _ = write!(value_comment, ". Default {default}.");
            }
            None if spec.required => value_comment.push_str(". Required."),
            None => value_comment.push_str(". Optional."),
        }
        let _ = writeln!(text, "{indent}// {value_comment}");
        let _ = write!(text, "{indent}\"{}\": ", spec.name);
        match (spec.field.get_type().which(), spec.example) {
            (_, Some(example)) => text.push_str(example),
            (TypeVariant::Struct(raw), _) => {
                render_struct(text, StructSchema::new(raw), depth + 1)?;
            }
            (TypeVariant::List(element), _) if spec.kind != FieldKind::Labels => {
                match element.which() {
                    TypeVariant::Struct(raw) => {
                        text.push('[');
                        render_struct(text, StructSchema::new(raw), depth + 1)?;
                        text.push(']');
                    }
                    _ => text.push_str("[]"),
                }
            }
            _ => text.push_str(default.as_deref().unwrap_or("null")),
        }
        text.push_str(if index + 1 < specs.len() { ",\n" } else { "\n" });
    }
    text.push_str(&"  ".repeat(depth));
    text.push('}');
    Ok(())
}

fn capitalize(text: &str) -> String {
    let mut characters = text.chars();
    match characters.next() {
        Some(first) => first.to_ascii_uppercase().to_string() + characters.as_str(),
        None => String::new(),
    }
}
