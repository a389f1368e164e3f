//! Guards against changes of values that the wire format or callers depend on.

use std::str::FromStr;

use bamboospur_types::{Offer, Outcome, ResponseStatus, ResultCode, stable_id};
use quickcheck::quickcheck;
use strum::IntoEnumIterator;

#[test]
fn stable_id_does_not_change_between_versions() {
    assert_eq!(stable_id("engine-01"), stable_id("engine-01"));
    assert_eq!(stable_id(""), 0xf52a_15e9_a9b5_e89b);
}

#[test]
fn statuses_of_responses() {
    let cases = [
        (0, ResponseStatus::Invalid),
        (99, ResponseStatus::Invalid),
        (100, ResponseStatus::Interim),
        (101, ResponseStatus::Invalid),
        (102, ResponseStatus::Interim),
        (199, ResponseStatus::Interim),
        (200, ResponseStatus::Final),
        (599, ResponseStatus::Final),
        (600, ResponseStatus::Invalid),
        (999, ResponseStatus::Invalid),
    ];
    for (code, expected) in cases {
        assert_eq!(ResponseStatus::from(code), expected, "{code}");
    }
}

#[test]
fn offer_text_forms() {
    let cases = [
        ("m", Some(("m", "", None))),
        ("m@1", Some(("m", "1", None))),
        ("m@1+a", Some(("m", "1", Some("a")))),
        ("m+a", Some(("m", "", Some("a")))),
        ("", None),
        ("m@", None),
        ("m@1+", None),
        ("@1", None),
    ];
    for (text, expected) in cases {
        let parsed = Offer::from_str(text).ok();
        let fields = parsed
            .as_ref()
            .map(|o| (o.model.as_str(), o.version.as_str(), o.adapter.as_deref()));
        assert_eq!(fields, expected, "offer {text:?}");
    }
}

#[test]
fn result_code_numbers_round_trip() {
    for code in ResultCode::iter() {
        assert_eq!(ResultCode::from_repr(code.number()), Some(code));
    }
}

#[test]
fn codes_after_sending_have_unknown_outcome() {
    for code in ResultCode::iter() {
        let sent = (602..=604).contains(&code.number()) || (700..800).contains(&code.number());
        if sent {
            assert_eq!(code.outcome(), Outcome::Unknown, "{code}");
        }
    }
}

quickcheck! {
    fn offer_display_parses_back(model: String, version: String) -> bool {
        let plain = |s: &String| !s.is_empty() && !s.contains(['@', '+']);
        if !plain(&model) || !plain(&version) {
            return true;
        }
        let offer = Offer { model, version, adapter: None };
        Offer::from_str(&offer.to_string()) == Ok(offer)
    }
}
