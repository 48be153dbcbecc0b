//! Cap'n Proto schema of settings, configuration and peer messages, with the committed generated code.
//!
//! The files in `schema/` are the source. After a change of one, `cargo run -p schema --example
//! generate` writes the code; a build needs no generator.

#[rustfmt::skip]
#[allow(clippy::all, clippy::unwrap_used, unsafe_code)]
pub mod annotations_capnp;
#[rustfmt::skip]
#[allow(clippy::all, clippy::unwrap_used, unsafe_code)]
pub mod fleet_capnp;
#[rustfmt::skip]
#[allow(clippy::all, clippy::unwrap_used, unsafe_code)]
pub mod peer_capnp;
#[rustfmt::skip]
#[allow(clippy::all, clippy::unwrap_used, unsafe_code)]
pub mod settings_capnp;
