//! Session tokens. Guards against clients that forge a required position or crash the proxy with a
//! token.

use model::{LogPosition, RequiredPosition, Term};
use proptest::prelude::*;
use route::{SessionToken, TokenError, TokenKey, TokenKeys};

fn keys() -> TokenKeys {
    TokenKeys(vec![TokenKey { id: 1, secret: [1; 32] }, TokenKey { id: 2, secret: [2; 32] }])
}

fn tokens() -> impl Strategy<Value = SessionToken> {
    prop::collection::btree_map("[a-z0-9-]{1,63}", (any::<u64>(), any::<u64>()), 0..32).prop_map(
        |positions| SessionToken {
            required_positions: positions
                .into_iter()
                .map(|(name, (term, position))| {
                    let required =
                        RequiredPosition { term: Term(term), position: LogPosition(position) };
                    (name.into(), required)
                })
                .collect(),
        },
    )
}

proptest! {
    #[test]
    fn round_trip(token in tokens()) {
        let text = token.sign(&keys()).unwrap();
        prop_assert!(text.len() <= 4_096);
        prop_assert_eq!(SessionToken::verify(&text, &keys()), Ok(token));
    }

    #[test]
    fn any_changed_byte_is_refused(token in tokens(), at: prop::sample::Index, byte: u8) {
        let text = token.sign(&keys()).unwrap();
        let mut bytes = text.clone().into_bytes();
        let at = at.index(bytes.len());
        prop_assume!(bytes[at] != byte);
        bytes[at] = byte;
        let changed = String::from_utf8_lossy(&bytes);
        prop_assert!(SessionToken::verify(&changed, &keys()).is_err());
    }

    #[test]
    fn verify_never_panics(text in "\\PC*") {
        let _ = SessionToken::verify(&text, &keys());
    }

    #[test]
    fn a_truncated_token_is_refused(token in tokens(), at: prop::sample::Index) {
        let text = token.sign(&keys()).unwrap();
        let truncated = &text[..at.index(text.len())];
        prop_assert!(SessionToken::verify(truncated, &keys()).is_err());
    }
}

#[test]
fn a_removed_key_is_refused_and_an_old_one_is_accepted() {
    let old = TokenKeys(vec![keys().0[0].clone()]);
    let text = SessionToken::default().sign(&old).unwrap();
    assert_eq!(SessionToken::verify(&text, &keys()), Ok(SessionToken::default()));
    let other = TokenKeys(vec![keys().0[1].clone()]);
    assert_eq!(SessionToken::verify(&text, &other), Err(TokenError::UnknownKey));
    assert_eq!(SessionToken::default().sign(&TokenKeys::default()), None);
}
