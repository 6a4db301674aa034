//! The servers of a dispatcher: slots in use, and the estimate of what each can do now.

use bv_roster::Registration;
use bv_types::{BackendId, HostId, Millis, ZoneId};

use crate::ask::ServerReport;
use crate::pace::Pace;

/// Time over which the weight of a reported pace falls to zero; it changes many times a second.
const PACE_FADE_TIME: Millis = Millis(300);
/// Weight of a new reported pace beside the measured response times, so that a false one costs little.
const PACE_WEIGHT: f64 = 0.6;
/// Bounds of the factor on the usual time of a call at one server.
const FACTOR_BOUNDS: (f64, f64) = (0.5, 2.5);
/// Time over which calls that only the server reported fade.
const REPORT_FADE_TIME: Millis = Millis(1_000);
/// Reports are up to a second old. They are compared with the most that was known to be in use within
/// twice this time.
const PEAK_WINDOW: Millis = Millis(500);
/// Time for which a host's statement of its sends without a grant counts.
const USE_LIFETIME: Millis = Millis(500);
/// Grants at a server that do not depend on the calls of hosts that place alone; a third of its slots.
const FLOOR: u32 = 2;
/// Usual time of a call before the first answer, in ms.
const INITIAL_WORK_MS: f64 = 30.0;
/// Weight of the newest sample of the usual time of a call.
const WORK_WEIGHT: f64 = 0.02;
/// Round trip to a server in another zone, in ms.
const CROSS_ZONE_MS: f64 = 9.0;

/// One server.
#[derive(Debug)]
pub(crate) struct Server {
    pub id: BackendId,
    started_at: Option<Millis>,
    zone: ZoneId,
    slots: u32,
    pub pace: Pace,
    /// Grants in use.
    pub granted: u32,
    /// Sends of hosts without a grant.
    alone: u32,
    /// Calls that only the server reported, and when.
    unknown: (f64, Millis),
    reported_pace: Option<(u32, Millis)>,
    /// Most calls known in the current and the previous window, and the start of the current one.
    peaks: (u32, u32, Millis),
}

impl Server {
    fn new(entry: &Registration, pace: Pace) -> Self {
        Server {
            id: entry.id.clone(),
            started_at: entry.started_at,
            zone: entry.zone.clone(),
            slots: entry.slots,
            pace,
            granted: 0,
            alone: 0,
            unknown: (0.0, Millis::ZERO),
            reported_pace: None,
            peaks: (0, 0, Millis::ZERO),
        }
    }

    fn known(&self) -> u32 {
        self.granted + self.alone
    }

    /// Calls in progress, as far as the dispatcher knows.
    pub fn in_use(&self, now: Millis) -> u32 {
        let (unknown, at) = self.unknown;
        let age = (now - at).0 as f64 / REPORT_FADE_TIME.0 as f64;
        self.known() + (unknown * (1.0 - age).max(0.0)).round() as u32
    }

    /// Number of calls that may be granted now. Up to `floor` grants do not depend on the calls of hosts that
    /// place alone.
    fn free(&self, now: Millis, floor: u32) -> u32 {
        let limit = self.pace.limit(now);
        let left = limit.saturating_sub(self.in_use(now));
        left.max(floor.min(limit).saturating_sub(self.granted))
    }

    fn note_peak(&mut self, now: Millis) {
        let (current, _, since) = self.peaks;
        let known = self.known();
        if now >= since + PEAK_WINDOW {
            let previous = match now >= since + PEAK_WINDOW + PEAK_WINDOW {
                true => known,
                false => current,
            };
            self.peaks = (known, previous, now);
        }
        self.peaks.0 = self.peaks.0.max(known);
    }

    fn record_report(&mut self, now: Millis, report: ServerReport) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        let known = f64::from(self.peaks.0.max(self.peaks.1));
        // More than fills the server would only last longer in the books.
        let most = f64::from(self.slots) * 2.0;
        self.unknown = ((total - known).clamp(0.0, most), now);
        if let Some(pace) = report.pace {
            self.reported_pace = Some((pace, now));
        }
    }
}

/// Sends of one host without a grant.
#[derive(Debug)]
struct HostUses {
    host: HostId,
    uses: Vec<(BackendId, u32)>,
    until: Millis,
}

/// All servers of a dispatcher, sorted by id.
#[derive(Debug)]
pub(crate) struct Servers {
    servers: Vec<Server>,
    uses: Vec<HostUses>,
    work_ms: f64,
    /// Usual time from a grant to the end of its call, in ms; this includes waits at the servers.
    answer_ms: f64,
    /// Grants at a server that do not depend on the calls of hosts that place alone.
    floor: u32,
}

impl Servers {
    pub fn new() -> Self {
        Servers {
            servers: Vec::new(),
            uses: Vec::new(),
            work_ms: INITIAL_WORK_MS,
            answer_ms: INITIAL_WORK_MS,
            floor: 0,
        }
    }

    /// Sets the servers that may get calls. `is_new` tells whether one that was not known before has just
    /// started.
    pub fn set<'a>(&mut self, entries: impl Iterator<Item = &'a Registration>, is_new: bool) {
        let mut old = std::mem::take(&mut self.servers);
        for entry in entries {
            let known = old.iter().position(|s| s.id == entry.id);
            let known = known.map(|at| old.swap_remove(at));
            let server = match known {
                Some(mut server) if server.started_at == entry.started_at => {
                    if server.slots != entry.slots {
                        server.slots = entry.slots;
                        server.pace.set_slots(entry.slots);
                    }
                    server
                }
                Some(_) => Server::new(entry, Pace::starting(entry.slots)),
                None if is_new => Server::new(entry, Pace::starting(entry.slots)),
                None => Server::new(entry, Pace::running(entry.slots)),
            };
            self.servers.push(server);
        }
        self.servers.sort_by(|a, b| a.id.cmp(&b.id));
        self.sum_uses();
    }

    pub fn find(&mut self, id: &BackendId) -> Option<&mut Server> {
        let at = self.servers.binary_search_by(|s| s.id.cmp(id)).ok()?;
        Some(&mut self.servers[at])
    }

    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter()
    }

    /// Lets some calls be granted at each server whatever others do there. Otherwise hosts that place alone
    /// would keep the calls of all others waiting.
    pub fn set_floor(&mut self) {
        self.floor = FLOOR;
    }

    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Usual time of a call, in ms.
    pub fn work_ms(&self) -> f64 {
        self.work_ms
    }

    /// Usual time from a grant to the end of its call, in ms.
    pub fn answer_ms(&self) -> f64 {
        self.answer_ms
    }

    /// Counts a grant at a server (`change` 1) or its end (-1).
    pub fn count_grant(&mut self, now: Millis, id: &BackendId, change: i32) {
        if let Some(server) = self.find(id) {
            server.granted = server.granted.saturating_add_signed(change);
            server.note_peak(now);
        }
    }

    /// Records the sends that a host made without a grant.
    pub fn set_uses(&mut self, now: Millis, host: &HostId, uses: Vec<(BackendId, u32)>) {
        let known = self.uses.iter().position(|u| u.host == *host);
        let old = known.map(|at| self.uses.swap_remove(at));
        if uses.is_empty() && old.is_none() {
            return;
        }
        if !uses.is_empty() {
            self.uses.push(HostUses {
                host: host.clone(),
                uses,
                until: now + USE_LIFETIME,
            });
        }
        self.sum_uses();
        for server in &mut self.servers {
            server.note_peak(now);
        }
    }

    pub fn expire_uses(&mut self, now: Millis) {
        let before = self.uses.len();
        self.uses.retain(|uses| now < uses.until);
        if self.uses.len() != before {
            self.sum_uses();
        }
    }

    fn sum_uses(&mut self) {
        for server in &mut self.servers {
            let uses = self.uses.iter().flat_map(|host| &host.uses);
            let own = uses.filter(|(id, _)| *id == server.id);
            server.alone = own.map(|(_, count)| *count).sum();
        }
    }

    pub fn record_report(&mut self, now: Millis, id: &BackendId, report: ServerReport) {
        if let Some(server) = self.find(id) {
            server.note_peak(now);
            server.record_report(now, report);
        }
    }

    /// Records an answer that was sent with `at_once` calls in progress at the server.
    pub fn answered(&mut self, id: &BackendId, took: Millis, at_once: u32) {
        self.answer_ms += (took.0 as f64 - self.answer_ms) * WORK_WEIGHT;
        let others = self.servers.iter().filter(|s| s.id != *id);
        let mut others: Vec<f64> = others
            .filter(|s| s.pace.is_settled())
            .filter_map(|s| s.pace.response_ms())
            .collect();
        others.sort_by(f64::total_cmp);
        let peers_ms = others.get(others.len() / 2).copied();
        let Some(server) = self.find(id) else {
            return;
        };
        server.pace.answered(took, at_once, peers_ms);
        let response = server.pace.response_ms().unwrap_or(INITIAL_WORK_MS);
        self.work_ms += (response - self.work_ms) * WORK_WEIGHT;
    }

    /// Time of a call at a server now, without waits there, in ms.
    pub fn estimate_ms(&self, now: Millis, server: &Server) -> f64 {
        let (least, most) = FACTOR_BOUNDS;
        let measured = server.pace.response_ms().unwrap_or(self.work_ms) / self.work_ms;
        let measured = measured.clamp(least, most);
        let factor = server.reported_pace.map_or(measured, |(pace, at)| {
            let age = (now - at).0 as f64 / PACE_FADE_TIME.0 as f64;
            let reported = (f64::from(pace) / 100.0).clamp(least, most);
            measured + (reported - measured) * PACE_WEIGHT * (1.0 - age).max(0.0)
        });
        self.work_ms * factor
    }

    /// The free server that answers a call from `zone` soonest.
    pub fn best(&self, now: Millis, zone: Option<&ZoneId>, tried: &[BackendId]) -> Option<&Server> {
        let free = self
            .servers
            .iter()
            .filter(|s| s.free(now, self.floor) > 0 && !tried.contains(&s.id));
        let scored = free.map(|server| {
            let load = f64::from(server.in_use(now) + 1) / f64::from(server.slots.max(1));
            let distance = if zone.is_none_or(|zone| server.zone == *zone) {
                0.0
            } else {
                CROSS_ZONE_MS
            };
            // Below the slots nothing waits, but fuller servers are more likely to.
            let ms = self.estimate_ms(now, server) * (load.max(1.0) + load * 0.5) + distance;
            (ms, server)
        });
        let best = scored.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, server)| server)
    }

    /// Calls that all servers together end in a ms.
    pub fn rate_per_ms(&self, now: Millis) -> f64 {
        let rates = self.servers.iter().map(|server| {
            let slots = server.pace.running_slots();
            slots / self.estimate_ms(now, server)
        });
        rates.sum()
    }

    /// Free places now.
    pub fn free(&self, now: Millis) -> u32 {
        let free = self.servers.iter().map(|s| s.free(now, self.floor));
        free.sum()
    }
}
