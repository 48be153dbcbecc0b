//! Guards against committed code that was not generated from the committed schema files.

use std::path::Path;

use sha2::{Digest, Sha256};

#[test]
fn generated_code_is_up_to_date() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut actual = Vec::new();
    for entry in std::fs::read_dir(root.join("schema")).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap().to_string();
        let hash = Sha256::digest(std::fs::read(&path).unwrap());
        let hash: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
        let module = root.join("src").join(name.replace(".capnp", "_capnp.rs"));
        assert!(module.exists(), "{} is missing", module.display());
        actual.push((name, hash));
    }
    actual.sort();
    let actual: String = actual.iter().map(|(name, hash)| format!("{hash}  {name}\n")).collect();
    let recorded = std::fs::read_to_string(root.join("src/schema.sha256")).unwrap();
    assert_eq!(
        actual, recorded,
        "a schema file changed: run `cargo run -p schema --example generate`"
    );
}
