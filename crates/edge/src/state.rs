//! State of the host that its decisions are based on.

use bv_admit::{Fleet, Queue};
use bv_platform::{DecodeError, Row, Rows, Table, decode_config, decode_server};
use bv_retry::{BudgetLimits, SharedBudget};
use bv_roster::{Roster, RowEffect};
use bv_route::{ApplyResult, InForce};
use bv_types::{BackendId, Millis, ServiceId, Version};
use bytes::Bytes;
use smol_str::SmolStr;

use crate::hosts::Hosts;

/// Time for which removed servers are remembered, so that an outdated row does not add one again.
const REMOVED_SERVER_RETENTION: Millis = Millis(60_000);

/// Share of the retry budget that is used. It leaves a margin because hosts that start are known to
/// the others only some seconds later, and each host counts its own periods.
const BUDGET_SHARE: f64 = 0.85;

/// Latest rows of the store that this host has read; also served to hosts that cannot read the
/// store.
#[derive(Debug, Default)]
pub(crate) struct KnownRows {
    /// The operator's configuration row.
    pub config: Option<Bytes>,
    /// Version of the store up to which this host has read configuration changes.
    pub config_read_up_to: Option<Version>,
    /// Rows of backend servers, sorted by key.
    pub servers: Vec<(SmolStr, Bytes)>,
    /// Version of the store up to which this host has read server changes.
    pub servers_read_up_to: Option<Version>,
    /// Version of the newest configuration change.
    pub newest_config_change: Version,
    /// Version of the newest server change.
    pub newest_server_change: Version,
    /// Newest versions that other hosts reported, of the configuration and of the servers.
    pub reported_versions: (Version, Version),
}

impl KnownRows {
    /// Whether another host reported a newer version of a table than this host has read.
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

    fn record_server_changes(&mut self, rows: &Rows) {
        for row in &rows.rows {
            self.newest_server_change = self.newest_server_change.max(row.version);
        }
    }
}

/// All state behind the lock of the host.
#[derive(Debug)]
pub(crate) struct State {
    pub in_force: InForce,
    pub roster: Roster,
    pub fleet: Fleet,
    /// Model calls that wait for capacity.
    pub queue: Queue,
    pub hosts: Hosts,
    pub known: KnownRows,
    /// Tables whose last store call failed.
    failing: Vec<&'static str>,
    /// Sorted by service.
    budgets: Vec<(ServiceId, SharedBudget)>,
}

impl State {
    pub fn new(seed: u64) -> Self {
        State {
            in_force: InForce::default(),
            roster: Roster::default(),
            fleet: Fleet::new(seed),
            queue: Queue::default(),
            hosts: Hosts::default(),
            known: KnownRows::default(),
            failing: Vec::new(),
            budgets: Vec::new(),
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

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        self.in_force.table().is_some() && self.known.servers_read_up_to.is_some()
    }

    /// Counts a caller's request to a service.
    pub fn count_request(&mut self, now: Millis, service: &ServiceId, limits: BudgetLimits) {
        self.budget(service).request(now, limits);
    }

    /// Takes one retry for a service from this host's share of the budget.
    pub fn take_retry(&mut self, now: Millis, service: &ServiceId, limits: BudgetLimits) -> bool {
        self.take_retries(now, service, limits, 1)
    }

    /// Takes `count` retries for a service from this host's share of the budget, or none of them.
    pub fn take_retries(
        &mut self,
        now: Millis,
        service: &ServiceId,
        limits: BudgetLimits,
        count: u32,
    ) -> bool {
        let (limits, hosts) = self.own_share(limits);
        self.budget(service).take_many(now, limits, hosts, count)
    }

    /// Charges a retry that was made without taking it from the budget first, such as a wasted
    /// prefill.
    pub fn charge_retry(&mut self, now: Millis, service: &ServiceId, limits: BudgetLimits) {
        self.budget(service).charge(now, limits);
    }

    /// Whether this host's share of the budget allows a retry for a service.
    pub fn allows_retry(&mut self, now: Millis, service: &ServiceId, limits: BudgetLimits) -> bool {
        let (limits, hosts) = self.own_share(limits);
        self.budget(service).allows(now, limits, hosts)
    }

    /// The part of the budget that may be used, and the number of hosts that share it.
    fn own_share(&self, limits: BudgetLimits) -> (BudgetLimits, usize) {
        let hosts = self.hosts.count();
        let limits = BudgetLimits {
            ratio: limits.ratio * BUDGET_SHARE,
            // Before the other hosts are known, they may be using the fixed part.
            extra: hosts.map_or(0.0, |_| limits.extra * BUDGET_SHARE),
            ..limits
        };
        (limits, hosts.unwrap_or(1))
    }

    fn budget(&mut self, service: &ServiceId) -> &mut SharedBudget {
        let at = match self.budgets.binary_search_by(|(id, _)| id.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                self.budgets
                    .insert(at, (service.clone(), SharedBudget::default()));
                at
            }
        };
        &mut self.budgets[at].1
    }

    /// Applies rows of the configuration table.
    pub fn apply_config(&mut self, now: Millis, rows: &Rows) -> Result<ApplyResult, DecodeError> {
        let row = rows.get(Table::CONFIG_KEY);
        if let Some(row) = row {
            let changed = &mut self.known.newest_config_change;
            *changed = row.version.max(*changed);
        }
        let result = match row.and_then(|row| row.value.clone()) {
            Some(body) => self.apply_config_row(body)?,
            None => ApplyResult::Same,
        };
        if self.in_force.table().is_some() {
            self.known.config_read_up_to = Some(rows.version);
            self.in_force.confirm(now);
        }
        Ok(result)
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
        let mut known = Vec::new();
        for row in &rows.rows {
            let Some(body) = &row.value else { continue };
            known.push((row.key.clone(), body.clone()));
            match decode_server(&row.key, body) {
                Ok(entry) => entries.push(entry),
                Err(err) => errors.push(err),
            }
        }
        known.sort_by(|a, b| a.0.cmp(&b.0));
        self.known.servers = known;
        self.known.servers_read_up_to = Some(rows.version);
        self.known.record_server_changes(rows);
        self.roster.replace(now, entries);
        self.forget(now);
        errors
    }

    /// Applies a changed row of the server table.
    pub fn change_server(&mut self, now: Millis, row: &Row) -> Result<RowEffect, DecodeError> {
        self.known.newest_server_change = self.known.newest_server_change.max(row.version);
        let found = self
            .known
            .servers
            .binary_search_by(|(key, _)| key.cmp(&row.key));
        let Some(body) = &row.value else {
            if let Ok(at) = found {
                self.known.servers.remove(at);
            }
            return Ok(self.remove_server(now, &row.key));
        };
        match found {
            Ok(at) => self.known.servers[at].1 = body.clone(),
            Err(at) => self
                .known
                .servers
                .insert(at, (row.key.clone(), body.clone())),
        }
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
