//! Guards against decoders that panic on malformed input, and against a splitter whose result depends
//! on how the stream is chunked.

#![allow(clippy::unwrap_used)]

use bytes::BytesMut;
use pg::{AnswerScanner, Frame, FrameError, FrameSplitter, split_first_packet, split_options};
use proptest::prelude::*;

/// Splits a stream that arrives in the given chunks.
fn split_chunks(chunks: &[&[u8]], limit: usize) -> (Vec<Frame>, Option<FrameError>) {
    let splitter = FrameSplitter::new(limit);
    let mut buffer = BytesMut::new();
    let mut frames = Vec::new();
    for chunk in chunks {
        buffer.extend_from_slice(chunk);
        loop {
            match splitter.split(&mut buffer) {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => break,
                Err(error) => return (frames, Some(error)),
            }
        }
    }
    (frames, None)
}

fn cut_at(stream: &[u8], mut cuts: Vec<usize>) -> Vec<&[u8]> {
    cuts.iter_mut().for_each(|cut| *cut %= stream.len() + 1);
    cuts.extend([0, stream.len()]);
    cuts.sort_unstable();
    cuts.windows(2).map(|pair| &stream[pair[0]..pair[1]]).collect()
}

/// Generates streams of mostly valid frames, so that the splitter gets past the first header.
fn stream() -> impl Strategy<Value = Vec<u8>> {
    let frame =
        (any::<u8>(), prop::collection::vec(any::<u8>(), 0..40)).prop_map(|(kind, body)| {
            let mut bytes = vec![kind];
            bytes.extend((body.len() as u32 + 4).to_be_bytes());
            bytes.extend(body);
            bytes
        });
    let piece = prop_oneof![8 => frame, 1 => prop::collection::vec(any::<u8>(), 0..12)];
    prop::collection::vec(piece, 0..12).prop_map(|pieces| pieces.concat())
}

proptest! {
    #[test]
    fn chunking_does_not_change_the_frames(
        stream in stream(),
        cuts in prop::collection::vec(any::<usize>(), 0..20),
        limit in 5usize..64,
    ) {
        let unchunked = split_chunks(&[&stream], limit);
        let chunked = split_chunks(&cut_at(&stream, cuts), limit);
        prop_assert_eq!(unchunked, chunked);
    }

    #[test]
    fn scanner_finds_the_frames_of_the_splitter(
        stream in stream(),
        cuts in prop::collection::vec(any::<usize>(), 0..20),
    ) {
        let (frames, error) = split_chunks(&[&stream], usize::MAX);
        prop_assume!(error.is_none());
        let mut scanner = AnswerScanner::default();
        let mut kinds = Vec::new();
        for chunk in cut_at(&stream, cuts) {
            scanner.scan(chunk, |kind| kinds.push(kind));
        }
        let expected: Vec<u8> = frames.iter().map(|frame| frame.kind).collect();
        prop_assert!(kinds.starts_with(&expected));
        let length: usize = frames.iter().map(|frame| frame.bytes.len()).sum();
        prop_assert_eq!(scanner.is_between_frames(), length == stream.len());
    }

    #[test]
    fn readers_never_panic_on_arbitrary_bodies(body in prop::collection::vec(any::<u8>(), 0..80)) {
        let _ = pg::read_query(&body);
        let _ = pg::read_parse(&body);
        let _ = pg::read_bind(&body);
        let _ = pg::read_target(&body);
        let _ = pg::read_execute(&body);
        let _ = pg::read_command_tag(&body);
        let _ = pg::read_error(&body);
        let _ = pg::read_ready(&body);
        let _ = pg::read_data_row(&body);
        let _ = pg::read_backend_key(&body);
        let _ = pg::read_authentication(&body);
        let _ = pg::read_parameter_status(&body);
        let _ = split_options(&String::from_utf8_lossy(&body));
    }

    #[test]
    fn split_first_packet_never_panics(body in prop::collection::vec(any::<u8>(), 0..80), version: u32) {
        let mut packet = (body.len() as u32 + 8).to_be_bytes().to_vec();
        packet.extend(version.to_be_bytes());
        packet.extend(&body);
        let _ = split_first_packet(&mut BytesMut::from(&packet[..]));
        packet[4..8].copy_from_slice(&196_608u32.to_be_bytes());
        let _ = split_first_packet(&mut BytesMut::from(&packet[..]));
        let _ = split_first_packet(&mut BytesMut::from(&body[..]));
    }
}

#[test]
fn frame_with_invalid_length_is_rejected_before_its_body_arrives() {
    let mut buffer = BytesMut::from(&b"Q\x7f\xff\xff\xff"[..]);
    let error = FrameSplitter::new(1 << 20).split(&mut buffer).unwrap_err();
    assert_eq!(error.code(), "54000");
    let mut buffer = BytesMut::from(&b"Q\0\0\0\x03"[..]);
    let error = FrameSplitter::new(1 << 20).split(&mut buffer).unwrap_err();
    assert_eq!(error.code(), "08P01");
}
