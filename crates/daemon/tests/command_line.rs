//! Exit codes and output of the binary.

#![allow(clippy::unwrap_used)]

mod common;

use common::{run_binary, temporary_file};

fn settings(caller_address: &str) -> String {
    serde_json::json!({
        "name": "vm-1", "data_centre": "dc1", "caller_address": caller_address,
        "peer_address": "127.0.0.1:17401", "admin_address": "127.0.0.1:17402",
        "platform_address": "127.0.0.1:17403",
    })
    .to_string()
}

#[test]
fn bad_command_line_exits_with_2() {
    for arguments in [&["--unknown"][..], &[]] {
        let (code, out, err) = run_binary(arguments);
        assert_eq!((code, out.as_str()), (2, ""), "{err}");
        assert!(err.starts_with("cicadawickd: "), "{err}");
    }
    let (code, out, _) = run_binary(&["--version"]);
    assert_eq!((code, out.as_str()), (0, "cicadawickd 0.1.0\n"));
    let (code, out, _) = run_binary(&["--help"]);
    assert_eq!(code, 0);
    assert!(out.contains("--settings"), "{out}");
}

#[test]
fn bad_settings_exit_with_3_and_name_the_location() {
    let file = temporary_file("bad");
    let name = file.to_str().unwrap();
    std::fs::write(&file, "{\n  \"nmae\": \"vm-1\"\n}").unwrap();
    let (code, out, err) = run_binary(&["--settings", name]);
    assert_eq!((code, out.as_str()), (3, ""));
    assert!(err.contains(&format!("{name}:2:3: nmae: unknown key")), "{err}");
    std::fs::write(&file, settings("127.0.0.1:17400")).unwrap();
    let (code, out, err) = run_binary(&["--settings", name, "--check"]);
    assert_eq!((code, err.as_str()), (0, ""));
    assert_eq!(out, format!("{name}: settings are valid\n"));
    std::fs::remove_file(&file).unwrap();
    assert_eq!(run_binary(&["--settings", name]).0, 3);
}

#[test]
fn address_in_use_exits_with_4() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let file = temporary_file("used");
    std::fs::write(&file, settings(&address)).unwrap();
    let (code, _, err) = run_binary(&["--settings", file.to_str().unwrap()]);
    std::fs::remove_file(&file).unwrap();
    assert_eq!(code, 4);
    assert!(err.contains(&format!("failed to listen on caller_address {address}")), "{err}");
}
