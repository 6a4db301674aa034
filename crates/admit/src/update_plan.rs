//! To whom a host reports its load, and when.
//!
//! Load: 300 hosts whose load changes all the time. In zones of up to 32 hosts every change goes to all
//! hosts of the zone and, at the intervals of [`update_intervals`], to those of other zones. In larger
//! zones ([`HostGroups`]) changes go to the host's group, as fast as a budget of bytes a second allows.
//! Hosts of other groups only need to know that this one is alive: its presence goes to one host of each
//! other group, which relays it to its group with its own reports. Hosts that read the store tell it to
//! all others, since these follow them.

use std::net::SocketAddr;

use bv_types::Millis;

use crate::host_groups::HostGroups;
use crate::peers::PeerLoad;
use crate::update_intervals::{self, REFRESH_INTERVAL};

/// Bytes a second for reports to the own group, headers of the transport included. Of the 7 KB/s that
/// control may cost a host, half is what others send to it.
const GROUP_BYTES_PER_S: u64 = 2_400;
/// Time by which reports may run ahead of that rate, so that a change after a quiet time is
/// reported at once.
const BURST: Millis = Millis(1_000);

/// The hosts to which a host reports.
#[derive(Debug, Clone, Copy)]
pub enum Recipients<'a> {
    /// No zone is large.
    Zones {
        /// Other hosts of this host's zone.
        near: &'a [SocketAddr],
        /// Hosts of other zones.
        remote: &'a [SocketAddr],
    },
    /// Some zone is divided into groups.
    Groups(&'a HostGroups),
}

/// What a host has to report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct News {
    /// Its load.
    pub load: PeerLoad,
    /// Whether it reads the store for others.
    pub reads_store: bool,
    /// Grows with the crashes that other hosts must hear of at once.
    pub crash_news: u64,
}

/// Who is told what now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Receivers {
    /// They get the load.
    pub load: Vec<SocketAddr>,
    /// They are told that this host is alive, and all but its load.
    pub presence: Vec<SocketAddr>,
    /// The same; they relay it to their groups.
    pub relayed_presence: Vec<SocketAddr>,
}

impl Receivers {
    /// Whether nobody is told anything.
    pub fn is_empty(&self) -> bool {
        self.load.is_empty() && self.presence.is_empty() && self.relayed_presence.is_empty()
    }
}

/// What was reported last to some hosts.
#[derive(Debug, Default)]
struct LastSent {
    news: News,
    at: Millis,
}

impl LastSent {
    /// Whether the hosts are to be told. `interval` is the minimum time between two reports; whether a
    /// call waits is told sooner, since other hosts leave capacity to it, and so is whether this
    /// host reads the store and that an engine has crashed.
    fn is_due(&self, now: Millis, news: &News, interval: Millis) -> bool {
        let (last, load) = (&self.news, &news.load);
        let is_waiting_changed = load.first_waiting.is_some() != last.load.first_waiting.is_some();
        is_waiting_changed
            || self.is_urgent(news)
            || (*load != last.load && now >= self.at + interval)
            || now >= self.at + interval.max(REFRESH_INTERVAL)
    }

    /// Whether all hosts must hear of it at once.
    fn is_urgent(&self, news: &News) -> bool {
        news.reads_store != self.news.reads_store || news.crash_news != self.news.crash_news
    }

    fn set(&mut self, now: Millis, news: &News) {
        *self = LastSent {
            news: news.clone(),
            at: now,
        };
    }
}

/// Decides when a host reports its load, and to whom.
#[derive(Debug, Default)]
pub struct UpdatePlan {
    /// Hosts of the own zone or group.
    near: LastSent,
    /// Hosts of other zones.
    remote: LastSent,
    /// When the own group was told anything.
    group_told_at: Millis,
    /// Time at which the bytes sent to the group so far are within the rate.
    group_paid_at: Millis,
    /// When all hosts of other groups, and one of each of them, were told.
    all_told_at: Millis,
    relays_told_at: Millis,
    /// Chooses the hosts that relay.
    round: usize,
}

impl UpdatePlan {
    /// A plan of a host that has told nobody. Hosts with different `seed`s choose different relays.
    pub fn new(seed: usize) -> Self {
        UpdatePlan {
            round: seed % 1_000,
            ..UpdatePlan::default()
        }
    }

    /// Who is to be told now.
    pub fn receivers(&mut self, now: Millis, to: Recipients<'_>, news: &News) -> Receivers {
        match to {
            Recipients::Zones { near, remote } => self.in_zones(now, (near, remote), news),
            Recipients::Groups(groups) => self.in_groups(now, groups, news),
        }
    }

    fn in_zones(
        &mut self,
        now: Millis,
        (near, remote): (&[SocketAddr], &[SocketAddr]),
        news: &News,
    ) -> Receivers {
        let mut receivers = Receivers::default();
        let remote_interval = update_intervals::remote_interval(near.len() + remote.len() + 1);
        if self.near.is_due(now, news, Millis::ZERO) {
            receivers.load.extend(near);
            self.near.set(now, news);
        }
        if self.remote.is_due(now, news, remote_interval) {
            receivers.load.extend(remote);
            self.remote.set(now, news);
        }
        receivers
    }

    fn in_groups(&mut self, now: Millis, groups: &HostGroups, news: &News) -> Receivers {
        let mut receivers = Receivers::default();
        let is_urgent = self.near.is_urgent(news);
        let is_within_rate = self.group_paid_at <= now + BURST;
        let is_changed = news.load != self.near.news.load;
        let is_refresh_due = now >= self.group_told_at + update_intervals::GROUP_REFRESH;
        if is_urgent || (is_within_rate && (is_changed || is_refresh_due)) {
            receivers.load.extend(groups.near());
            self.near.set(now, news);
        } else if is_refresh_due {
            receivers.presence.extend(groups.near());
        }
        if !receivers.is_empty() {
            self.group_told_at = now;
        }
        let far: usize = groups.far().iter().map(Vec::len).sum();
        let hosts = groups.near_count() + far + 1;
        let all_due = self.all_told_at + update_intervals::remote_interval(hosts);
        let relays_due = self.relays_told_at + update_intervals::relay_interval(groups.far().len());
        if is_urgent || (news.reads_store && now >= all_due) {
            receivers.presence.extend(groups.far().iter().flatten());
            self.all_told_at = now;
        } else if now >= relays_due {
            let round = self.round;
            let relay = |group: &Vec<SocketAddr>| group[round % group.len()];
            receivers.relayed_presence = groups.far().iter().map(relay).collect();
            self.relays_told_at = now;
            self.round += 1;
        }
        receivers
    }

    /// Records the bytes that were sent to the own group, headers of the transport included.
    pub fn record_sent(&mut self, now: Millis, bytes: usize) {
        let time = Millis(bytes as u64 * 1_000 / GROUP_BYTES_PER_S);
        self.group_paid_at = self.group_paid_at.max(now) + time;
    }
}
