//! Entry point of `cicadawickd`.

fn main() {}
