//! Guards against frames that make a relay or follower panic or hold more than the limits.

#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use relay::frame::{FollowRequest, FrameHeader, read_body, read_line, write_line};

proptest! {
    #[test]
    fn arbitrary_lines_never_panic_and_are_bounded(
        mut line in prop::collection::vec(any::<u8>(), 0..400),
        is_ended: bool,
    ) {
        if is_ended {
            line.push(b'\n');
        }
        let mut input = &line[..];
        let _ = read_line::<FollowRequest>(&mut input);
        prop_assert!(line.len() - input.len() <= 256, "a line was read beyond its limit");
        let _ = read_line::<FrameHeader>(&mut &line[..]);
    }

    #[test]
    fn a_header_passes_unchanged(next: u64, contact_age_ms: u64, bytes: usize) {
        let header = FrameHeader { next, contact_age_ms, bytes };
        let mut line = Vec::new();
        write_line(&mut line, &header).unwrap();
        prop_assert_eq!(read_line::<FrameHeader>(&mut &line[..]).unwrap(), header);
    }

    #[test]
    fn a_body_is_as_long_as_announced(body in prop::collection::vec(any::<u8>(), 0..300), bytes: usize) {
        for bytes in [bytes, bytes % 400] {
            match read_body(&mut &body[..], bytes) {
                Ok(read) => prop_assert_eq!(&read[..], &body[..bytes]),
                Err(_) => prop_assert!(bytes > body.len()),
            }
        }
    }
}
