//! Guards against heads of requests that make the server panic, wait without end or hold more than its limit.

#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use shell::{HttpError, MAX_HEAD_BYTES, parse_request};

/// Generates texts that are mostly requests, so that the parser gets past the first line.
fn head() -> impl Strategy<Value = Vec<u8>> {
    let line = prop_oneof![
        4 => "[A-Za-z-]{1,12}: [ -~]{0,30}",
        1 => Just("Connection: close".to_string()),
        1 => Just("Content-Length: 12".to_string()),
        1 => "[ -~]{0,30}",
    ];
    let start = prop_oneof![
        4 => "(GET|POST|HEAD) /[a-z?=&%0-9]{0,20} HTTP/1\\.[01]",
        1 => "[ -~]{0,30}",
    ];
    let end = prop_oneof![4 => Just("\r\n"), 1 => Just("\n"), 1 => Just("")];
    (start, prop::collection::vec(line, 0..80), end).prop_map(|(start, lines, end)| {
        let mut text = format!("{start}\r\n");
        for line in lines {
            text += &format!("{line}\r\n");
        }
        (text + end).into_bytes()
    })
}

proptest! {
    #[test]
    fn any_head_is_read_refused_or_incomplete(
        mut input in prop_oneof![head(), prop::collection::vec(any::<u8>(), 0..300)],
        cut: prop::sample::Index,
    ) {
        let whole = parse_request(&input);
        if let Ok(Some((request, size))) = &whole {
            prop_assert!(*size <= input.len() && request.url.len() <= *size);
        }
        // A part of a valid head is never refused.
        input.truncate(cut.index(input.len() + 1));
        if whole.is_ok() {
            prop_assert!(parse_request(&input).is_ok());
        }
    }

    #[test]
    fn a_head_without_end_is_refused_at_the_limit(fill in "[a-z]{1,20}") {
        let mut input = b"GET /ready HTTP/1.1\r\n".to_vec();
        while input.len() < MAX_HEAD_BYTES {
            prop_assert_eq!(parse_request(&input[..input.len() - 1]), Ok(None));
            let line = format!("Name: {}\r\n", fill.repeat(200));
            input.extend_from_slice(line.as_bytes());
        }
        prop_assert_eq!(parse_request(&input), Err(HttpError::TooLarge));
    }
}
