//! Identifies the device and the team of a request.

use bv_config::{Inventory, Team};
use hyper::http::request::Parts;
use smol_str::{SmolStr, ToSmolStr};

use crate::callers::PeerAddr;

/// Identity of the device: the last address in the balancer's header, else the peer's address.
/// Earlier addresses in the header come from the caller and can be forged.
pub(crate) fn device_of(inventory: &Inventory, parts: &Parts) -> SmolStr {
    let named = inventory
        .device_header
        .as_ref()
        .and_then(|name| parts.headers.get_all(name.as_str()).iter().next_back())
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.rsplit(',').next())
        .map(str::trim)
        .filter(|value| !value.is_empty());
    match (named, parts.extensions.get::<PeerAddr>()) {
        (Some(named), _) => SmolStr::new(named),
        (None, Some(PeerAddr(addr))) => addr.ip().to_smolstr(),
        (None, None) => SmolStr::default(),
    }
}

/// Team of a device in the inventory.
pub(crate) fn team_of<'a>(inventory: &'a Inventory, device: &str) -> Option<&'a Team> {
    let device = inventory.device(device)?;
    inventory.team(&device.team)
}
