//! State of the host that its decisions are based on.

use std::net::SocketAddr;

use bv_admit::{Announcements, Fleet, HostDigest, HostGroups, Queue};
use bv_blame::{Block, CrashWatch};
use bv_delta::{History, Patch};
use bv_platform::{DecodeError, Row, Table, decode_config, decode_server};
use bv_retry::HostBudgets;
use bv_roster::{
    AgeBounds, Answer, HostEntry, HostLists, Registration, Rejected, Roster, RowEffect,
    SourceChoice, StoreClock, TableAnswer, TableCopy,
};
use bv_route::{ApplyResult, IdleTimeouts, InForce};
use bv_types::{BackendId, Era, Millis, Version};
use tracing::info;

use crate::dispatch_state::DispatchState;
use crate::hosts::{Hosts, RestoredHosts};

/// Time for which removed servers are remembered, so that an outdated row does not add one again.
const REMOVED_SERVER_RETENTION: Millis = Millis(60_000);

/// This host's copies of the tables that all hosts share; also served to the hosts that do not read
/// the store themselves.
#[derive(Debug, Default)]
pub(crate) struct KnownRows {
    /// The operator's configuration.
    pub config: TableCopy,
    /// Backend servers.
    pub servers: TableCopy,
    /// Changes with the rows of the servers.
    pub servers_revision: u64,
    /// The operator's configuration, as it is passed on to other hosts.
    pub config_history: History,
    /// Newest versions that other hosts reported, of the configuration and of the servers.
    reported_versions: ((Era, Version), (Era, Version)),
    /// The host that reported the newest of them first.
    reporter: Option<SocketAddr>,
}

impl KnownRows {
    /// Latest era of the store that a copy here is of.
    pub fn era(&self) -> Era {
        self.config.era().max(self.servers.era())
    }

    /// That era and the versions of the newest changes in it, configuration first, for messages that
    /// state one era. A copy of an earlier era counts as none.
    pub fn newest_changes(&self) -> (Era, Version, Version) {
        let era = self.era();
        let version = |copy: &TableCopy| match copy.newest_change() {
            (of, version) if of == era => version,
            _ => Version(0),
        };
        (era, version(&self.config), version(&self.servers))
    }

    /// The same for the positions.
    pub fn positions(&self) -> (Era, Version, Version) {
        let era = self.era();
        let position = |copy: &TableCopy| copy.position().filter(|_| copy.era() == era);
        let position = |copy| position(copy).unwrap_or_default();
        (era, position(&self.config), position(&self.servers))
    }

    /// The copy of a table, if it is shared.
    pub fn copy(&self, table: Table) -> Option<&TableCopy> {
        match table {
            Table::Config => Some(&self.config),
            Table::Servers => Some(&self.servers),
            Table::Hosts | Table::Terms | Table::Crashes => None,
        }
    }

    /// What a host lacks of the configuration and of the servers that knows these versions of an era, 0
    /// for none. A copy of an earlier era than the other counts as none.
    pub fn since(
        &self,
        era: Era,
        (config, servers): (u64, u64),
    ) -> (Option<TableAnswer>, Option<TableAnswer>) {
        let position = |version: u64| (version > 0).then_some((era, Version(version)));
        let is_latest = |answer: &TableAnswer| answer.era == self.era();
        (
            self.config.since(position(config)).filter(is_latest),
            self.servers.since(position(servers)).filter(is_latest),
        )
    }

    /// Whether another host reported a newer version of a table than this host knows.
    pub fn is_behind(&self, table: Table) -> bool {
        let reported = match table {
            Table::Config => self.reported_versions.0,
            Table::Servers => self.reported_versions.1,
            Table::Hosts | Table::Terms | Table::Crashes => return false,
        };
        let copy = self.copy(table).filter(|copy| copy.position().is_some());
        copy.is_some_and(|copy| copy.newest_stated() < reported)
    }

    /// Records the newest versions that another host reported, and their era.
    pub fn record_reported(
        &mut self,
        reporter: SocketAddr,
        era: Era,
        (config, servers): (Version, Version),
    ) {
        if self.raise_reported(era, (config, servers)) {
            self.reporter = Some(reporter);
        }
    }

    /// Raises the newest versions that are known to exist. Returns whether one of them was not known.
    fn raise_reported(&mut self, era: Era, (config, servers): (Version, Version)) -> bool {
        let before = self.reported_versions;
        self.reported_versions = (before.0.max((era, config)), before.1.max((era, servers)));
        self.reported_versions != before
    }

    /// The host that reported the newest version first.
    pub fn reporter(&self) -> Option<SocketAddr> {
        self.reporter
    }

    /// Records that a copy began an era, so that the copy of the other table is behind.
    fn record_era(&mut self, era: Option<Era>) {
        if let Some(era) = era {
            self.raise_reported(era, (Version(0), Version(0)));
        }
    }

    /// Records the version of an answer of the store. A report of a newer one was wrong, or the
    /// next report repeats it.
    pub fn cap_reported(&mut self, table: Table, answered: (Era, Version)) {
        let reported = match table {
            Table::Config => &mut self.reported_versions.0,
            Table::Servers => &mut self.reported_versions.1,
            Table::Hosts | Table::Terms | Table::Crashes => return,
        };
        *reported = (*reported).min(answered);
    }
}

/// An answer that was taken into the copy of a table.
#[derive(Debug, Default)]
pub(crate) struct Taken {
    /// Number of rows that changed.
    pub changed: usize,
    /// Number of servers that became usable or ceased to be.
    pub effects: usize,
    /// Era of the store that the answer began here, if it is later than that of the copy before.
    pub new_era: Option<Era>,
    /// What a changed configuration did; none if it did not change.
    pub config: Option<ApplyResult>,
    /// Rows that cannot be read. They count as known, or they would be read again without end.
    pub unreadable: Vec<DecodeError>,
}

/// When the store last confirmed the rows in answers to this host, while it reads the store.
#[derive(Debug, Clone, Copy, Default)]
struct OwnConfirmations {
    config: Option<Millis>,
    servers: Option<Millis>,
}

/// All state behind the lock of the host.
#[derive(Debug)]
pub(crate) struct State {
    pub in_force: InForce,
    /// Idle timeouts of callers' connections.
    pub idle_timeouts: IdleTimeouts,
    pub roster: Roster,
    pub fleet: Fleet,
    /// What servers announced in their answers.
    pub announced: Announcements,
    /// Model calls that wait for capacity.
    pub queue: Queue,
    pub hosts: Hosts,
    /// Digest of another host's list from which `hosts` was taken; 0 if it was read from the store.
    pub hosts_origin: u64,
    /// The latest lists of hosts.
    pub host_lists: HostLists,
    /// Digests of hosts of other groups that are to be relayed to the own group.
    pub heard: Vec<HostDigest>,
    /// Hosts whose rows a restored store may lack.
    pub restored_hosts: RestoredHosts,
    pub known: KnownRows,
    /// Where the rows of the store come from.
    pub sources: SourceChoice,
    pub store_clock: StoreClock,
    /// Tables whose last store call failed.
    failing: Vec<&'static str>,
    /// When the store last confirmed each table in an answer to this host.
    own_confirmations: OwnConfirmations,
    pub retry_budgets: HostBudgets,
    /// Which requests crash engines.
    pub crashes: CrashWatch,
    /// Slots of plain servers.
    pub dispatch: DispatchState,
    /// The blocks of contents that crash engines, as they were logged last.
    pub logged_blocks: Vec<Block>,
}

impl State {
    pub fn new(
        now: Millis,
        seed: u64,
        bounds: AgeBounds,
        retry_budgets: HostBudgets,
        idle_timeouts: IdleTimeouts,
    ) -> Self {
        State {
            in_force: InForce::default(),
            idle_timeouts,
            roster: Roster::default(),
            fleet: Fleet::new(seed),
            announced: Announcements::new(seed),
            queue: Queue::default(),
            hosts: Hosts::default(),
            hosts_origin: 0,
            host_lists: HostLists::default(),
            heard: Vec::new(),
            restored_hosts: RestoredHosts::default(),
            known: KnownRows::default(),
            sources: SourceChoice::starting(bounds, now),
            store_clock: StoreClock::default(),
            failing: Vec::new(),
            own_confirmations: OwnConfirmations::default(),
            retry_budgets,
            crashes: CrashWatch::new(seed),
            dispatch: DispatchState::default(),
            logged_blocks: Vec::new(),
        }
    }

    /// Records whether the last store call for a table failed.
    pub fn set_store_failing(&mut self, table: &'static str, failing: bool) {
        self.failing.retain(|other| *other != table);
        if failing {
            self.failing.push(table);
        }
    }

    /// Whether the last store call for any table failed.
    pub fn is_store_failing(&self) -> bool {
        !self.failing.is_empty()
    }

    /// Records an answer of the store to this host, which confirms a table as of `confirmed_at`.
    pub fn record_store_answer(&mut self, now: Millis, table: Table, confirmed_at: Millis) {
        let own = &mut self.own_confirmations;
        match table {
            Table::Config => own.config = Some(confirmed_at),
            Table::Servers => own.servers = Some(confirmed_at),
            Table::Hosts | Table::Terms | Table::Crashes => return,
        }
        if let (Some(config), Some(servers)) = (own.config, own.servers) {
            self.sources.record_store_answer(now, config.min(servers));
        }
    }

    /// Records that a call of this host for the rows of a table failed.
    pub fn record_store_failure(&mut self, table: Table) {
        let own = &mut self.own_confirmations;
        match table {
            Table::Config => own.config = None,
            Table::Servers => own.servers = None,
            Table::Hosts | Table::Terms | Table::Crashes => return,
        }
        self.sources.record_store_failure();
    }

    /// Records that this host no longer reads the store.
    pub fn record_reading_ended(&mut self) {
        self.own_confirmations = OwnConfirmations::default();
        self.sources.record_reading_ended();
    }

    /// Time since the store confirmed the rows of a table, directly or through other hosts; none
    /// before a configuration is in force.
    pub fn table_age(&self, now: Millis, table: Table) -> Option<Millis> {
        self.in_force.table()?;
        self.copy_age(now, table)
    }

    /// Time since the store confirmed the copy of a table.
    pub fn copy_age(&self, now: Millis, table: Table) -> Option<Millis> {
        let confirmed_at = self.known.copy(table)?.confirmed_at()?;
        Some(self.store_clock.store_time(now)? - confirmed_at)
    }

    /// Time since the store confirmed the rows of all tables, directly or through other hosts; none
    /// while the copies are of different eras.
    pub fn rows_age(&self, now: Millis) -> Option<Millis> {
        if self.known.config.era() != self.known.servers.era() {
            return None;
        }
        let config = self.table_age(now, Table::Config)?;
        Some(config.max(self.table_age(now, Table::Servers)?))
    }

    /// Adds to the hosts of the rows that were read in an era those whose rows the store may have lost.
    pub fn complete_hosts(
        &mut self,
        now: Millis,
        own: &HostEntry,
        (era, read): (Era, Hosts),
    ) -> Hosts {
        self.restored_hosts
            .complete(now, own, &self.hosts, (era, read))
    }

    /// Sets the live hosts.
    pub fn set_hosts(&mut self, now: Millis, own: &HostEntry, hosts: Hosts) {
        if hosts.count() != self.hosts.count() {
            info!(count = hosts.count(), "hosts: changed");
        }
        self.fleet.expect_peers(hosts.others().len());
        self.fleet.set_groups(HostGroups::new(own, hosts.others()));
        self.sources.set_hosts(own, hosts.others());
        self.sources.record_hosts_known(now);
        self.retry_budgets.set_hosts(now, hosts.count());
        self.hosts_origin = 0;
        if hosts.digest() != self.hosts.digest() {
            let all = hosts.others().iter().chain([own]).cloned().collect();
            self.host_lists.record(hosts.digest(), all);
        }
        self.hosts = hosts;
    }

    /// Whether the list of hosts is that with this digest, or was taken from it.
    pub fn has_host_list(&self, digest: u64) -> bool {
        self.hosts_origin == digest || self.hosts.digest() == digest
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        self.in_force.table().is_some() && self.known.servers.position().is_some()
    }

    /// Whether a server that was chosen earlier may still be sent work.
    pub fn may_send(&self, now: Millis, server: &Registration) -> bool {
        self.roster.usable(now, &server.id).is_some() && self.announced.may_send(now, server)
    }

    /// Takes an answer about the configuration. `patches` led to its row from the one that this host had;
    /// there are none if the row came whole.
    pub fn take_config(
        &mut self,
        now: Millis,
        answer: Answer,
        patches: &[Patch],
    ) -> Result<Taken, Rejected> {
        let before = era_of(&self.known.config);
        let rows = self.known.config.take(answer)?;
        let new_era = before.and_then(|before| later_era(&self.known.config, before));
        self.known.record_era(new_era);
        let mut taken = Taken {
            changed: rows.len(),
            new_era,
            ..Taken::default()
        };
        let row = rows.iter().find(|row| row.key == Table::CONFIG_KEY);
        if let Some(body) = row.and_then(|row| row.value.as_ref()) {
            let history = &mut self.known.config_history;
            match patches.is_empty() {
                true => history.replace(body.clone()),
                false => history.advance(patches, body.clone()),
            }
            match decode_config(body) {
                Ok(table) => {
                    let idle_timeout = table.limits().idle_timeout;
                    let result = self.in_force.apply_if_newer(table);
                    if result == ApplyResult::Applied {
                        self.idle_timeouts.set(now, idle_timeout);
                    }
                    taken.config = Some(result);
                }
                Err(err) => taken.unreadable.push(err),
            }
        }
        Ok(taken)
    }

    /// Takes an answer about the servers. Where it ends an outage of the store, or the store answers
    /// for the first time since it was restored from a copy, the servers whose rows are missing stay
    /// usable for a while.
    pub fn take_servers(
        &mut self,
        now: Millis,
        answer: Answer,
        ends_outage: bool,
    ) -> Result<Taken, Rejected> {
        let is_first = self.known.servers.position().is_none();
        let before = era_of(&self.known.servers);
        let is_of_store = !matches!(answer, Answer::Peer(_));
        let rows = self.known.servers.take(answer)?;
        let new_era = before.and_then(|before| later_era(&self.known.servers, before));
        self.known.record_era(new_era);
        // Versions of different eras are not told apart by the encodings of the rows.
        let is_changed = !rows.is_empty() || new_era.is_some();
        self.known.servers_revision += u64::from(is_changed);
        if ends_outage || (is_of_store && new_era.is_some()) {
            self.roster.store_recovered(now);
        }
        let mut taken = Taken {
            changed: rows.len(),
            new_era,
            ..Taken::default()
        };
        for row in &rows {
            match self.change_server(now, row, new_era.is_some()) {
                Ok(RowEffect::Unchanged | RowEffect::Stale) => {}
                Ok(effect) => {
                    taken.effects += 1;
                    if !is_first {
                        info!(
                            server = %row.key,
                            version = row.version.0,
                            outcome = ?effect,
                            "servers: changed"
                        );
                    }
                }
                Err(err) => taken.unreadable.push(err),
            }
        }
        self.forget(now);
        Ok(taken)
    }

    /// Applies a changed row of the server table. Rows that are missing in a new era may be lost.
    fn change_server(
        &mut self,
        now: Millis,
        row: &Row,
        is_new_era: bool,
    ) -> Result<RowEffect, DecodeError> {
        let Some(body) = &row.value else {
            return Ok(match BackendId::try_from(row.key.as_str()) {
                Ok(id) if is_new_era => self.roster.lose(now, &id),
                Ok(id) => self.roster.remove(now, &id),
                Err(_) => RowEffect::Unchanged,
            });
        };
        match decode_server(&row.key, body) {
            Ok(entry) if is_new_era => Ok(self.roster.put_restored(now, entry)),
            Ok(entry) => Ok(self.roster.put(now, entry)),
            Err(err) => {
                if let Ok(id) = BackendId::try_from(row.key.as_str()) {
                    self.roster.hide(now, &id);
                }
                Err(err)
            }
        }
    }

    /// Forgets servers that were removed or are no longer usable.
    pub fn forget(&mut self, now: Millis) {
        self.roster.forget(now, REMOVED_SERVER_RETENTION);
        let roster = &self.roster;
        self.fleet.retain(|id| roster.usable(now, id).is_some());
    }
}

/// Era of a copy; none before the table was read.
fn era_of(copy: &TableCopy) -> Option<Era> {
    copy.position().map(|_| copy.era())
}

fn later_era(copy: &TableCopy, before: Era) -> Option<Era> {
    (copy.era() > before).then_some(copy.era())
}
