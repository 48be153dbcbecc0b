//! Compression of documents sent between peers.
//!
//! At the target fleet size the configuration is 230 KB and changes 410 times a day. Uncompressed,
//! that would use a quarter of the traffic budget for control messages.

use std::io::{Read, Write};

use capnp::Error;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Maximum size of a decompressed document. The platform stores values of at most 1 MB.
const DOCUMENT_LIMIT_BYTES: u64 = 2 * 1024 * 1024;

pub(crate) fn compress(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    Ok(encoder.finish()?)
}

/// Fails if the data is not valid DEFLATE or the document exceeds [`DOCUMENT_LIMIT_BYTES`].
pub(crate) fn decompress(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    let mut document = Vec::new();
    DeflateDecoder::new(bytes).take(DOCUMENT_LIMIT_BYTES + 1).read_to_end(&mut document)?;
    if document.len() as u64 > DOCUMENT_LIMIT_BYTES {
        return Err(Error::failed(format!("document exceeds {DOCUMENT_LIMIT_BYTES} bytes")));
    }
    Ok(document)
}
