//! Cap'n Proto schema of settings, configuration and peer messages, with the committed generated code.
//!
//! The schemas are in `schema/`. The example program `generate` writes the code in `src/`, so that a
//! build needs no generator.

#[allow(clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
pub mod peer_capnp;
