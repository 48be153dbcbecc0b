//! Entry point of `cicadawick`.

fn main() {}
