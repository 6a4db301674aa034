//! Placement of calls to plain services, whose servers are not model engines.

use bv_roster::Registration;
use bv_types::{BackendId, Millis, ServiceId, ZoneId};

use crate::PlacementError;
use crate::fleet::Fleet;
use crate::server::Server;

/// Round trip to a server in another availability zone, in ms; zones are about 4.5 ms apart one
/// way.
pub(crate) const CROSS_ZONE_MS: f64 = 9.0;
/// Penalty of an avoided server, in ms: it is chosen only if there is no other.
pub(crate) const AVOIDED_PENALTY_MS: f64 = 100_000.0;
/// Penalty of a failing server, in ms, multiplied by its share of errors.
pub(crate) const FAILING_PENALTY_MS: f64 = 10_000.0;
/// Penalty of a server that refused its latest request, in ms.
const REFUSING_PENALTY_MS: f64 = 1_000.0;
/// Range of the random part of a score, in ms: hosts with the same view would otherwise all choose
/// the same server.
const JITTER_MS: f64 = 3.0;

/// A call to place on a server.
#[derive(Debug, Clone, Copy)]
pub struct CallRequest<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Availability zone of this host.
    pub zone: &'a ZoneId,
    /// Servers that the call was sent to before.
    pub tried: &'a [BackendId],
    /// Time until the call's deadline.
    pub remaining: Millis,
}

/// The chosen server.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The server.
    pub server: Registration,
    /// Predicted time to its answer.
    pub predicted: Millis,
}

impl Fleet {
    /// Chooses a server for a call among `entries`, or refuses it.
    ///
    /// # Errors
    /// No server is left, or the answer is predicted after the deadline.
    pub fn place_call<'a>(
        &mut self,
        now: Millis,
        request: CallRequest<'_>,
        entries: impl Iterator<Item = &'a Registration>,
    ) -> Result<Choice, PlacementError> {
        let entries: Vec<&Registration> =
            entries.filter(|e| !request.tried.contains(&e.id)).collect();
        let baseline_error_share = self.baseline_error_share(&entries);
        let call_ms = self.call_ms(request.service);
        let mut best: Option<(f64, f64, &Registration)> = None;
        for entry in entries {
            let server = self.find(&entry.id);
            let call_ms = call_ms * server.map_or(1.0, |s| s.pace_factor(now));
            let mut predicted = call_ms;
            if entry.zone != *request.zone {
                predicted += CROSS_ZONE_MS;
            }
            let in_progress = server.map_or(0.0, |s| s.load(now, false).requests);
            predicted += waiting_ms(in_progress, entry.slots, call_ms);
            let score = predicted
                + server.map_or(0.0, |s| penalty_ms(now, s, baseline_error_share))
                + self.rng.f64() * JITTER_MS;
            if best.is_none_or(|(lowest, _, _)| score < lowest) {
                best = Some((score, predicted, entry));
            }
        }
        let Some((_, predicted, entry)) = best else {
            return Err(PlacementError::NoServer);
        };
        let predicted = Millis(predicted.ceil() as u64);
        if predicted > request.remaining {
            let retry_after = predicted - request.remaining;
            return Err(PlacementError::TooLate { retry_after });
        }
        Ok(Choice {
            server: entry.clone(),
            predicted,
        })
    }

    /// Mean share of errors of the better half of the servers.
    pub(crate) fn baseline_error_share(&self, entries: &[&Registration]) -> f64 {
        let shares = entries
            .iter()
            .map(|e| self.find(&e.id).map_or(0.0, |s| s.health.error_share()));
        // Only the half with fewer errors counts, so that a few failing servers do not raise the
        // mean.
        let mut shares: Vec<f64> = shares.collect();
        shares.sort_by(f64::total_cmp);
        shares.truncate(shares.len().div_ceil(2));
        shares.iter().sum::<f64>() / shares.len().max(1) as f64
    }
}

fn waiting_ms(in_progress: f64, slots: u32, call_ms: f64) -> f64 {
    let slots = f64::from(slots);
    let ahead = (in_progress + 1.0 - slots).max(0.0);
    ahead * call_ms / slots
}

pub(crate) fn penalty_ms(now: Millis, server: &Server, baseline_error_share: f64) -> f64 {
    let avoided = if server.is_avoided(now) {
        AVOIDED_PENALTY_MS
    } else {
        0.0
    };
    let failing = match server.health.is_failing(baseline_error_share) {
        true => FAILING_PENALTY_MS * server.health.error_share(),
        false => 0.0,
    };
    let refusing = match server.is_refusing(now) {
        true => REFUSING_PENALTY_MS,
        false => 0.0,
    };
    avoided + failing + refusing
}
