//! Row keys of resent and of different calls.

use bv_ledger::{IdentityRule, ResentCall, row_key};
use serde_json::{Value, json};

const HEADER: IdentityRule<'_> = IdentityRule::Header("x-call");
const JSON: IdentityRule<'_> = IdentityRule::Json("order.id");

fn call<'a>() -> ResentCall<'a> {
    ResentCall {
        route: "reserve",
        device: "10.0.0.1",
        method: "POST",
        path: "/reserve",
        header: Some(b"17"),
        json: None,
        body: b"{}",
    }
}

fn key(rule: IdentityRule<'_>, call: ResentCall<'_>) -> String {
    row_key(&"booking".parse().unwrap(), rule, call).to_string()
}

/// Guards against treating a resent call as a new one.
#[test]
fn resent_calls_share_a_key() {
    let json = json!({"order": {"id": 17}, "sent": 1});
    let later = json!({"sent": 2, "order": {"id": 17}});
    let cases = [
        (
            "header",
            HEADER,
            call(),
            ResentCall {
                device: "10.0.0.2",
                body: b"new",
                ..call()
            },
        ),
        (
            "padded header",
            HEADER,
            call(),
            ResentCall {
                header: Some(b" 17 "),
                ..call()
            },
        ),
        (
            "json",
            JSON,
            ResentCall {
                json: Some(&json),
                ..call()
            },
            ResentCall {
                json: Some(&later),
                header: None,
                ..call()
            },
        ),
        (
            "digest",
            IdentityRule::Digest,
            call(),
            ResentCall {
                header: None,
                ..call()
            },
        ),
    ];
    for (name, rule, first, second) in cases {
        assert_eq!(key(rule, first), key(rule, second), "{name}");
    }
}

/// Guards against giving a new call the answer of another call.
#[test]
fn different_calls_have_different_keys() {
    let digest = IdentityRule::Digest;
    let json = [
        json!({"order": {"id": 17}}),
        json!({"order": {"id": "17"}}),
        json!({"order": 17}),
    ];
    let with = |json: &'static Value| ResentCall {
        json: Some(json),
        ..call()
    };
    let json: &'static [Value] = Box::leak(Box::new(json));
    let cases = [
        (
            "header value",
            HEADER,
            call(),
            ResentCall {
                header: Some(b"18"),
                ..call()
            },
        ),
        (
            "route",
            HEADER,
            call(),
            ResentCall {
                route: "refund",
                ..call()
            },
        ),
        ("json type", JSON, with(&json[0]), with(&json[1])),
        ("json path", JSON, with(&json[0]), with(&json[2])),
        (
            "device",
            digest,
            call(),
            ResentCall {
                device: "10.0.0.2",
                ..call()
            },
        ),
        (
            "method",
            digest,
            call(),
            ResentCall {
                method: "PUT",
                ..call()
            },
        ),
        (
            "path",
            digest,
            call(),
            ResentCall {
                path: "/reserve?x",
                ..call()
            },
        ),
        (
            "body",
            digest,
            call(),
            ResentCall {
                body: b"[]",
                ..call()
            },
        ),
        (
            "split",
            digest,
            call(),
            ResentCall {
                path: "/reserv",
                body: b"e{}",
                ..call()
            },
        ),
    ];
    for (name, rule, first, second) in cases {
        assert_ne!(key(rule, first), key(rule, second), "{name}");
    }
    let service = "refunds".parse().unwrap();
    assert_ne!(
        row_key(&service, HEADER, call()),
        key(HEADER, call()),
        "service"
    );
}

/// Guards against sharing one row among all calls that lack the named header or field.
#[test]
fn missing_header_or_field_falls_back_to_digest() {
    let json = json!({"order": {"id": null}});
    let cases = [
        (
            "no header",
            HEADER,
            ResentCall {
                header: None,
                ..call()
            },
        ),
        (
            "empty header",
            HEADER,
            ResentCall {
                header: Some(b" "),
                ..call()
            },
        ),
        ("not json", JSON, call()),
        (
            "null field",
            JSON,
            ResentCall {
                json: Some(&json),
                ..call()
            },
        ),
    ];
    for (name, rule, call) in cases {
        assert_eq!(key(rule, call), key(IdentityRule::Digest, call), "{name}");
    }
}
