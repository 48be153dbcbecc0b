//! Cap'n Proto schemas of settings, configuration and peer messages, with the generated code.
//!
//! The code is generated from the files in `schema/` and committed, so a build does not need the `capnp`
//! program. After a change of a schema file, run `cargo run -p schema --example generate`.

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
