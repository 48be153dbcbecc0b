//! Generates the Rust code of every schema in `schema/` into `src/`; needs the `capnp` compiler.
//!
//! Run `cargo run -p schema --example generate` after a change of a schema and commit the result.

use std::path::Path;

fn main() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut schemas: Vec<_> = std::fs::read_dir(root.join("schema"))
        .expect("failed to list the schemas")
        .map(|entry| entry.expect("failed to list the schemas").path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "capnp"))
        .collect();
    schemas.sort();
    let mut command = capnpc::CompilerCommand::new();
    command.src_prefix(root.join("schema")).output_path(root.join("src"));
    for schema in &schemas {
        command.file(schema);
    }
    command.run().expect("failed to generate code");
}
