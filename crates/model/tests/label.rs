//! Label selectors. Guards against white space that changes the meaning of a selector, and against
//! texts from operators that make the parser panic.

#![allow(clippy::unwrap_used)]

use model::{LabelSelector, LabelSet};
use proptest::prelude::*;

fn selector(text: &str) -> LabelSelector {
    text.parse().unwrap()
}

#[test]
fn operators_match_only_their_labels() {
    let vendor = LabelSet::from_pairs([("kind", "vendor"), ("town", "oshakati")]);
    let phone = LabelSet::from_pairs([("kind", "phone")]);
    let cases = [
        ("kind=vendor", true, false),
        ("kind!=vendor", false, true),
        ("kind in (vendor, kiosk)", true, false),
        ("kind notin (vendor)", false, true),
        ("town", true, false),
        ("!town", false, true),
        ("kind=vendor, town=oshakati", true, false),
        ("", true, true),
    ];
    for (text, matches_vendor, matches_phone) in cases {
        assert_eq!(selector(text).matches(&vendor), matches_vendor, "{text:?} on vendor");
        assert_eq!(selector(text).matches(&phone), matches_phone, "{text:?} on phone");
    }
}

#[test]
fn a_missing_key_satisfies_negative_rules() {
    let none = LabelSet::default();
    assert!(selector("kind!=vendor").matches(&none));
    assert!(selector("kind notin (vendor, kiosk)").matches(&none));
}

#[test]
fn errors_name_the_part_and_the_reason() {
    let cases = [
        ("kind in (vendor", "missing ')'"),
        ("kind in vendor)", "unexpected ')'"),
        ("kind within (vendor)", "expected 'in' or 'notin' before the list"),
        ("kind=", "expected a key or value"),
        ("kind=a b", "allowed are letters, digits and -_./:"),
    ];
    for (text, reason) in cases {
        let error = text.parse::<LabelSelector>().unwrap_err();
        assert_eq!(error.reason, reason, "{text:?}");
    }
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in ".{0,200}") {
        let _ = text.parse::<LabelSelector>();
        let _ = LabelSet::parse(&text);
    }

    #[test]
    fn white_space_does_not_change_the_meaning(
        key in "[a-z]{1,8}", values in proptest::collection::vec("[a-z0-9]{1,8}", 1..4),
        label_value in "[a-z0-9]{1,8}", blanks in "[ ]{0,3}",
    ) {
        let compact = format!("{key} in ({})", values.join(","));
        let list = values.join(&format!("{blanks},{blanks}"));
        let spaced = format!("{blanks}{key} {blanks}in{blanks} ({blanks}{list}{blanks}){blanks}");
        let labels = LabelSet::from_pairs([(key.as_str(), label_value.as_str())]);
        let expected = values.contains(&label_value);
        prop_assert_eq!(selector(&compact).matches(&labels), expected);
        prop_assert_eq!(selector(&spaced).matches(&labels), expected);
    }
}
