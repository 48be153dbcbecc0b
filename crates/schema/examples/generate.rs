//! Regenerates the committed code of all schema files: `cargo run -p schema --example generate`.
//!
//! Needs the `capnp` program. Also records the SHA-256 of each schema file, which a test compares to
//! detect outdated committed code.

use std::fmt::Write;
use std::path::Path;

use sha2::{Digest, Sha256};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for entry in std::fs::read_dir(root.join("schema"))? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "capnp") {
            files.push(path);
        }
    }
    files.sort();
    let mut command = capnpc::CompilerCommand::new();
    command.src_prefix(root.join("schema")).output_path(root.join("src"));
    let mut hashes = String::new();
    for file in &files {
        command.file(file);
        let name = file.file_name().unwrap_or_default().to_string_lossy();
        let hash = Sha256::digest(std::fs::read(file)?);
        let hash: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(hashes, "{hash}  {name}")?;
    }
    command.run()?;
    std::fs::write(root.join("src/schema.sha256"), hashes)?;
    Ok(())
}
