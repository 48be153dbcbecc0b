//! Documents between peers travel compressed: the configuration of the target's size has 230 KB and
//! changes 410 times a day, which would be a quarter of what control work may send.

use std::io::{Read, Write};

use capnp::Error;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Largest document. The platform's values have at most 1 MB.
const DOCUMENT_LIMIT: u64 = 2 * 1024 * 1024;

pub(crate) fn compress(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    Ok(encoder.finish()?)
}

/// Fails if the bytes are not compressed or the document is too large.
pub(crate) fn decompress(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    let mut document = Vec::new();
    DeflateDecoder::new(bytes).take(DOCUMENT_LIMIT + 1).read_to_end(&mut document)?;
    if document.len() as u64 > DOCUMENT_LIMIT {
        return Err(Error::failed(format!("a document of more than {DOCUMENT_LIMIT} bytes")));
    }
    Ok(document)
}
