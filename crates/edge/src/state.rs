//! State of the host that its decisions are based on.

use bv_admit::{Announcements, Fleet, Queue};
use bv_platform::{DecodeError, Row, Rows, Table, decode_config, decode_server};
use bv_retry::HostBudgets;
use bv_roster::{
    AgeBounds, HostEntry, Registration, Roster, RowEffect, RowLog, SourceChoice, StoreClock,
};
use bv_route::{ApplyResult, InForce};
use bv_types::{BackendId, Millis, Version};
use bytes::Bytes;
use tracing::info;

use crate::hosts::Hosts;

/// Time for which removed servers are remembered, so that an outdated row does not add one again.
const REMOVED_SERVER_RETENTION: Millis = Millis(60_000);

/// Latest rows of the store that this host knows; also served to the hosts that do not read the
/// store themselves.
#[derive(Debug, Default)]
pub(crate) struct KnownRows {
    /// The operator's configuration row.
    pub config: Option<Bytes>,
    /// Version of the store up to which this host knows all configuration changes.
    pub config_read_up_to: Option<Version>,
    /// Rows of backend servers.
    pub servers: RowLog,
    /// Version of the store up to which this host knows all server changes.
    pub servers_read_up_to: Option<Version>,
    /// When the store confirmed that there were no newer server changes.
    servers_confirmed_at: Option<Millis>,
    /// Version of the newest configuration change.
    pub newest_config_change: Version,
    /// Newest versions that other hosts reported, of the configuration and of the servers.
    reported_versions: (Version, Version),
}

impl KnownRows {
    /// Whether another host reported a newer version of a table than this host knows.
    pub fn is_behind(&self, table: Table) -> bool {
        let (version, reported) = match table {
            Table::Config => (self.config_read_up_to, self.reported_versions.0),
            Table::Servers => (self.servers_read_up_to, self.reported_versions.1),
            Table::Hosts | Table::Terms => return false,
        };
        version.is_some_and(|version| version < reported)
    }

    /// Records the newest versions that another host reported.
    pub fn record_reported(&mut self, config: Version, servers: Version) {
        self.reported_versions = (
            self.reported_versions.0.max(config),
            self.reported_versions.1.max(servers),
        );
    }

    /// Records the version of an answer of the store. A report of a newer one was wrong, or the
    /// next report repeats it.
    pub fn cap_reported(&mut self, table: Table, answered: Version) {
        let reported = match table {
            Table::Config => &mut self.reported_versions.0,
            Table::Servers => &mut self.reported_versions.1,
            Table::Hosts | Table::Terms => return,
        };
        *reported = (*reported).min(answered);
    }
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
    pub roster: Roster,
    pub fleet: Fleet,
    /// What servers announced in their answers.
    pub announced: Announcements,
    /// Model calls that wait for capacity.
    pub queue: Queue,
    pub hosts: Hosts,
    pub known: KnownRows,
    /// Where the rows of the store come from.
    pub sources: SourceChoice,
    /// Time of the store's clock, and when it was observed by this host's clock.
    store_time: Option<(Millis, Millis)>,
    pub store_clock: StoreClock,
    /// Tables whose last store call failed.
    failing: Vec<&'static str>,
    /// When the store last confirmed each table in an answer to this host.
    own_confirmations: OwnConfirmations,
    pub retry_budgets: HostBudgets,
}

impl State {
    pub fn new(seed: u64, bounds: AgeBounds, retry_budgets: HostBudgets) -> Self {
        State {
            in_force: InForce::default(),
            roster: Roster::default(),
            fleet: Fleet::new(seed),
            announced: Announcements::new(seed),
            queue: Queue::default(),
            hosts: Hosts::default(),
            known: KnownRows::default(),
            sources: SourceChoice::new(bounds),
            store_time: None,
            store_clock: StoreClock::default(),
            failing: Vec::new(),
            own_confirmations: OwnConfirmations::default(),
            retry_budgets,
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
            Table::Hosts | Table::Terms => return,
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
            Table::Hosts | Table::Terms => return,
        }
        self.sources.record_store_failure();
    }

    /// Records that this host no longer reads the store.
    pub fn record_reading_ended(&mut self) {
        self.own_confirmations = OwnConfirmations::default();
        self.sources.record_reading_ended();
    }

    /// Time since the store confirmed the rows of a table, directly or through other hosts.
    pub fn table_age(&self, now: Millis, table: Table) -> Option<Millis> {
        match table {
            Table::Config => self.in_force.time_since_confirmed(now),
            Table::Servers => self.known.servers_confirmed_at.map(|at| now - at),
            Table::Hosts | Table::Terms => None,
        }
    }

    /// Time since the store confirmed the rows of all tables, directly or through other hosts.
    pub fn rows_age(&self, now: Millis) -> Option<Millis> {
        let config = self.table_age(now, Table::Config)?;
        Some(config.max(self.table_age(now, Table::Servers)?))
    }

    /// Records that this host knows all server changes up to one that was the newest at
    /// `confirmed_at`.
    pub fn confirm_servers(&mut self, confirmed_at: Millis) {
        let known = &mut self.known.servers_confirmed_at;
        *known = (*known).max(Some(confirmed_at));
    }

    /// Records the time of the store's clock in an answer.
    pub fn observe_store_time(&mut self, now: Millis, store_time: Millis) {
        if store_time > Millis::ZERO {
            self.store_time = Some((store_time, now));
        }
    }

    /// Time of the store's clock, as far as known.
    pub fn store_time(&self, now: Millis) -> Option<Millis> {
        self.store_time.map(|(time, at)| time + (now - at))
    }

    /// Sets the live hosts.
    pub fn set_hosts(&mut self, now: Millis, own: &HostEntry, hosts: Hosts) {
        if hosts.count() != self.hosts.count() {
            info!(count = hosts.count(), "hosts: changed");
        }
        self.fleet.expect_peers(hosts.others().len());
        self.sources.set_hosts(own, hosts.others());
        self.retry_budgets.set_hosts(now, hosts.count());
        self.hosts = hosts;
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        self.in_force.table().is_some() && self.known.servers_read_up_to.is_some()
    }

    /// Whether a server that was chosen earlier may still be sent work.
    pub fn may_send(&self, now: Millis, server: &Registration) -> bool {
        self.roster.usable(now, &server.id).is_some() && self.announced.may_send(now, server)
    }

    /// Applies rows of the configuration table. At `confirmed_at` no newer version existed.
    pub fn apply_config(
        &mut self,
        confirmed_at: Millis,
        rows: &Rows,
    ) -> Result<ApplyResult, DecodeError> {
        let row = rows.get(Table::CONFIG_KEY);
        if let Some(row) = row {
            let changed = &mut self.known.newest_config_change;
            *changed = row.version.max(*changed);
        }
        let result = match row.and_then(|row| row.value.clone()) {
            Some(body) => self.apply_config_row(body),
            None => Ok(ApplyResult::Same),
        };
        // A row that cannot be read counts as read, or it would be read again without end.
        self.confirm_config(confirmed_at, rows.version);
        result
    }

    /// Records that this host knows all configuration changes up to a version, and that no newer
    /// one existed at `confirmed_at`.
    pub fn confirm_config(&mut self, confirmed_at: Millis, version: Version) {
        if self.in_force.table().is_some() {
            let read_up_to = &mut self.known.config_read_up_to;
            *read_up_to = (*read_up_to).max(Some(version));
            self.in_force.confirm(confirmed_at);
        }
    }

    /// Applies an operator's configuration row if it is newer than the one in force.
    pub fn apply_config_row(&mut self, body: Bytes) -> Result<ApplyResult, DecodeError> {
        let result = self.in_force.apply_if_newer(decode_config(&body)?);
        if result == ApplyResult::Applied {
            self.known.config = Some(body);
        }
        Ok(result)
    }

    /// Replaces all servers by the rows of the server table.
    pub fn replace_servers(&mut self, now: Millis, rows: &Rows) -> Vec<DecodeError> {
        let mut errors = Vec::new();
        let mut entries = Vec::new();
        for row in &rows.rows {
            let Some(body) = &row.value else { continue };
            match decode_server(&row.key, body) {
                Ok(entry) => entries.push(entry),
                Err(err) => errors.push(err),
            }
        }
        self.known
            .servers
            .replace(rows.rows.iter().cloned(), rows.version);
        self.known.servers_read_up_to = Some(rows.version);
        self.roster.replace(now, entries);
        self.forget(now);
        errors
    }

    /// Applies changed rows of the server table, which include all changes up to `version`.
    pub fn change_servers(
        &mut self,
        now: Millis,
        rows: &[Row],
        version: Version,
    ) -> Vec<DecodeError> {
        let mut errors = Vec::new();
        for row in rows {
            match self.change_server(now, row) {
                Ok(RowEffect::Unchanged | RowEffect::Stale) => {}
                Ok(effect) => info!(
                    server = %row.key,
                    version = row.version.0,
                    outcome = ?effect,
                    "servers: changed"
                ),
                Err(err) => errors.push(err),
            }
        }
        self.known.servers_read_up_to = Some(version);
        self.forget(now);
        errors
    }

    /// Applies a changed row of the server table.
    fn change_server(&mut self, now: Millis, row: &Row) -> Result<RowEffect, DecodeError> {
        self.known.servers.change(row.clone());
        let Some(body) = &row.value else {
            return Ok(self.remove_server(now, &row.key));
        };
        match decode_server(&row.key, body) {
            Ok(entry) => Ok(self.roster.put(now, entry)),
            Err(err) => {
                // A server whose row cannot be read must not be used.
                self.remove_server(now, &row.key);
                Err(err)
            }
        }
    }

    fn remove_server(&mut self, now: Millis, key: &str) -> RowEffect {
        match BackendId::try_from(key) {
            Ok(id) => self.roster.remove(now, &id),
            Err(_) => RowEffect::Unchanged,
        }
    }

    /// Forgets servers that were removed or are no longer usable.
    pub fn forget(&mut self, now: Millis) {
        self.roster.forget(now, REMOVED_SERVER_RETENTION);
        let roster = &self.roster;
        self.fleet.retain(|id| roster.usable(now, id).is_some());
    }
}
