//! Identity of resent calls.

use bv_types::{Fingerprint, ServiceId};
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

/// Rule by which a resent call is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdentityRule<'a> {
    /// The value of a header.
    Header(&'a str),
    /// A field of the JSON body, as a dotted path.
    Json(&'a str),
    /// Device, method, path and body.
    Digest,
}

/// The parts of a call that can identify it.
#[derive(Debug, Clone, Copy)]
pub struct ResentCall<'a> {
    /// Route that matched. The same header or field value on another route is another call.
    pub route: &'a str,
    /// Address or identity header of the device.
    pub device: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Value of the header named by the rule.
    pub header: Option<&'a [u8]>,
    /// Parsed body, when the rule needs it and the body is JSON.
    pub json: Option<&'a Value>,
    /// Body.
    pub body: &'a [u8],
}

/// Key of the row of a call, `call/<service>/<key>`.
///
/// A call without the header or field that the rule names is identified by its digest.
///
/// ```
/// use bv_ledger::{IdentityRule, ResentCall, row_key};
/// let service = "booking".parse().unwrap();
/// let json = serde_json::json!({"booking": {"id": 17}, "at": 1});
/// let call = ResentCall {
///     route: "reserve",
///     device: "10.0.0.1",
///     method: "POST",
///     path: "/booking/reserve",
///     header: None,
///     json: Some(&json),
///     body: b"",
/// };
/// let other = ResentCall { device: "10.0.0.2", path: "/booking/reserve?again", ..call };
/// let rule = IdentityRule::Json("booking.id");
/// assert_eq!(row_key(&service, rule, call), row_key(&service, rule, other));
/// assert_ne!(
///     row_key(&service, IdentityRule::Digest, call),
///     row_key(&service, IdentityRule::Digest, other),
/// );
/// ```
pub fn row_key(service: &ServiceId, rule: IdentityRule<'_>, call: ResentCall<'_>) -> SmolStr {
    let named = match rule {
        IdentityRule::Header(_) => header_value(call).map(|value| ("header", value)),
        IdentityRule::Json(path) => json_value(call, path).map(|value| ("json", value)),
        IdentityRule::Digest => None,
    };
    let fingerprint = match &named {
        Some((kind, value)) => {
            Fingerprint::digest([kind.as_bytes(), call.route.as_bytes(), value.as_slice()])
        }
        None => Fingerprint::digest([
            b"digest".as_slice(),
            call.device.as_bytes(),
            call.method.as_bytes(),
            call.path.as_bytes(),
            call.body,
        ]),
    };
    format_smolstr!("call/{service}/{fingerprint}")
}

fn header_value(call: ResentCall<'_>) -> Option<Vec<u8>> {
    call.header
        .map(<[u8]>::trim_ascii)
        .filter(|value| !value.is_empty())
        .map(<[u8]>::to_vec)
}

fn json_value(call: ResentCall<'_>, path: &str) -> Option<Vec<u8>> {
    let field = path
        .split('.')
        .try_fold(call.json?, |value, name| value.get(name))?;
    match field {
        Value::String(text) if text.is_empty() => None,
        Value::String(_) | Value::Number(_) | Value::Bool(_) => {
            Some(field.to_string().into_bytes())
        }
        Value::Null | Value::Array(_) | Value::Object(_) => None,
    }
}
