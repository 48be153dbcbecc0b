//! `cicadawick`: the operators' client.
