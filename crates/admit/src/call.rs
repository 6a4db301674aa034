//! Placement of calls of plain services.

use bv_roster::Entry;
use bv_types::{BackendId, Millis, ServiceId, ZoneId};

use crate::Refused;
use crate::fleet::Fleet;
use crate::server::Server;

/// Round trip to a server in another availability zone, in ms; zones are about 4.5 ms apart one
/// way.
pub(crate) const CROSS_ZONE_MS: f64 = 9.0;
/// Added to the predicted time of an avoided server, in ms: it is chosen only if there is no other.
pub(crate) const AVOIDED_MS: f64 = 100_000.0;
/// Added to the predicted time of a server that answers with errors, in ms.
pub(crate) const FAILING_MS: f64 = 10_000.0;
/// Differences below this are decided by chance, in ms, so that hosts with the same view do not all
/// choose the same server.
const JITTER_MS: f64 = 3.0;

/// A call that needs a server.
#[derive(Debug, Clone, Copy)]
pub struct CallRequest<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Availability zone of this host.
    pub zone: &'a ZoneId,
    /// Servers that have had the call already.
    pub tried: &'a [BackendId],
    /// Time that is left.
    pub remaining: Millis,
}

/// The chosen server.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The server.
    pub server: Entry,
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
        ask: CallRequest<'_>,
        entries: impl Iterator<Item = &'a Entry>,
    ) -> Result<Choice, Refused> {
        let entries: Vec<&Entry> = entries.filter(|e| !ask.tried.contains(&e.id)).collect();
        let peers = self.mean_errors(&entries);
        let call_ms = self.call_ms(ask.service);
        let mut best: Option<(f64, f64, &Entry)> = None;
        for entry in entries {
            let mut predicted = call_ms;
            if entry.zone != *ask.zone {
                predicted += CROSS_ZONE_MS;
            }
            let server = self.find(&entry.id);
            let in_progress = server.map_or(0.0, |s| s.load(now, false).requests);
            predicted += waiting_ms(in_progress, entry.slots, call_ms);
            let score = predicted
                + server.map_or(0.0, |s| penalty_ms(now, s, peers))
                + self.rng.f64() * JITTER_MS;
            if best.is_none_or(|(lowest, _, _)| score < lowest) {
                best = Some((score, predicted, entry));
            }
        }
        let Some((_, predicted, entry)) = best else {
            return Err(Refused::NoServer);
        };
        let predicted = Millis(predicted.ceil() as u64);
        if predicted > ask.remaining {
            let retry_after = predicted - ask.remaining;
            return Err(Refused::TooLate { retry_after });
        }
        Ok(Choice {
            server: entry.clone(),
            predicted,
        })
    }

    pub(crate) fn mean_errors(&self, entries: &[&Entry]) -> f64 {
        let shares = entries
            .iter()
            .map(|e| self.find(&e.id).map_or(0.0, |s| s.health.error_share()));
        // The lower half of the servers is the measure: a few failing ones do not raise it.
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

pub(crate) fn penalty_ms(now: Millis, server: &Server, peers: f64) -> f64 {
    let avoided = if server.is_avoided(now) {
        AVOIDED_MS
    } else {
        0.0
    };
    let failing = match server.health.is_failing(peers) {
        true => FAILING_MS * server.health.error_share(),
        false => 0.0,
    };
    avoided + failing
}
