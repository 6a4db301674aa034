//! What a host knows and decides from.

use bv_admit::{Fleet, Queue};
use bv_platform::{DecodeError, Row, Rows, Table, decode_config, decode_server};
use bv_retry::{BudgetTerms, SharedBudget};
use bv_roster::{Outcome, Roster};
use bv_route::{InForce, Offer};
use bv_types::{BackendId, Millis, ServiceId, Version};
use bytes::Bytes;
use smol_str::SmolStr;

use crate::hosts::Hosts;

/// Time for which servers that left are remembered, so that a late row does not bring one back.
const REMEMBER_LEFT: Millis = Millis(60_000);

/// Share of the retry budget that is used: hosts that start are known to the others only some
/// seconds later, and each counts its own periods.
const BUDGET_SHARE: f64 = 0.85;

/// Rows of the store as this host last knew them, for hosts that the store refuses.
#[derive(Debug, Default)]
pub(crate) struct Known {
    /// The operator's row.
    pub config: Option<Bytes>,
    /// Version of the store up to which changes of the configuration are known.
    pub config_version: Option<Version>,
    /// Rows of backend servers, sorted by key.
    pub servers: Vec<(SmolStr, Bytes)>,
    /// Version of the store up to which changes of the servers are known.
    pub servers_version: Option<Version>,
    /// Newest change of the configuration.
    pub config_changed: Version,
    /// Newest change of the servers.
    pub servers_changed: Version,
    /// Newest changes that other hosts know, of the configuration and of the servers.
    pub heard: (Version, Version),
}

impl Known {
    /// Whether other hosts know a newer change of a table than this one has read.
    pub fn is_outpaced(&self, table: Table) -> bool {
        let (version, heard) = match table {
            Table::Config => (self.config_version, self.heard.0),
            Table::Servers => (self.servers_version, self.heard.1),
            Table::Hosts | Table::Terms => return false,
        };
        version.is_some_and(|version| version < heard)
    }

    /// Notes the newest changes that another host knows.
    pub fn hear(&mut self, config: Version, servers: Version) {
        self.heard = (self.heard.0.max(config), self.heard.1.max(servers));
    }

    fn note_changes(&mut self, rows: &Rows) {
        for row in &rows.rows {
            self.servers_changed = self.servers_changed.max(row.version);
        }
    }
}

/// All state behind the lock of the host.
#[derive(Debug)]
pub(crate) struct State {
    pub in_force: InForce,
    pub roster: Roster,
    pub fleet: Fleet,
    /// Model calls that wait for room.
    pub queue: Queue,
    pub hosts: Hosts,
    pub known: Known,
    /// Tables whose last call failed.
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
            known: Known::default(),
            failing: Vec::new(),
            budgets: Vec::new(),
        }
    }

    /// Notes whether the last call for a table failed.
    pub fn store_failed(&mut self, table: &'static str, failed: bool) {
        self.failing.retain(|other| *other != table);
        if failed {
            self.failing.push(table);
        }
    }

    /// Whether the last call for some table failed.
    pub fn is_store_failing(&self) -> bool {
        !self.failing.is_empty()
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        self.in_force.table().is_some() && self.known.servers_version.is_some()
    }

    /// Counts a caller's request to a service.
    pub fn count_request(&mut self, now: Millis, service: &ServiceId, terms: BudgetTerms) {
        self.budget(service).request(now, terms);
    }

    /// Takes one repeat for a service from this host's share of the budget.
    pub fn take_repeat(&mut self, now: Millis, service: &ServiceId, terms: BudgetTerms) -> bool {
        let (terms, hosts) = self.own_share(terms);
        self.budget(service).take(now, terms, hosts)
    }

    /// Counts a repeat that was made without asking, such as a prompt that was read for nothing.
    pub fn charge_repeat(&mut self, now: Millis, service: &ServiceId, terms: BudgetTerms) {
        self.budget(service).charge(now, terms);
    }

    /// Whether this host's share of the budget allows a repeat for a service.
    pub fn allows_repeat(&mut self, now: Millis, service: &ServiceId, terms: BudgetTerms) -> bool {
        let (terms, hosts) = self.own_share(terms);
        self.budget(service).allows(now, terms, hosts)
    }

    /// The part of the budget that is used, and the hosts that share it.
    fn own_share(&self, terms: BudgetTerms) -> (BudgetTerms, usize) {
        let hosts = self.hosts.count();
        let terms = BudgetTerms {
            ratio: terms.ratio * BUDGET_SHARE,
            // Before the other hosts are known, the fixed part may be theirs.
            extra: hosts.map_or(0.0, |_| terms.extra * BUDGET_SHARE),
            ..terms
        };
        (terms, hosts.unwrap_or(1))
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

    /// Takes over rows of the configuration's table.
    pub fn apply_config(&mut self, now: Millis, rows: &Rows) -> Result<Offer, DecodeError> {
        let row = rows.get(Table::CONFIG_KEY);
        if let Some(row) = row {
            let changed = &mut self.known.config_changed;
            *changed = row.version.max(*changed);
        }
        let offer = match row.and_then(|row| row.value.clone()) {
            Some(body) => self.offer_config(body)?,
            None => Offer::Same,
        };
        if self.in_force.table().is_some() {
            self.known.config_version = Some(rows.version);
            self.in_force.confirm(now);
        }
        Ok(offer)
    }

    /// Offers an operator's row.
    pub fn offer_config(&mut self, body: Bytes) -> Result<Offer, DecodeError> {
        let offer = self.in_force.offer(decode_config(&body)?);
        if offer == Offer::Applied {
            self.known.config = Some(body);
        }
        Ok(offer)
    }

    /// Takes over all rows of the servers' table.
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
        self.known.servers_version = Some(rows.version);
        self.known.note_changes(rows);
        self.roster.replace(now, entries);
        self.forget(now);
        errors
    }

    /// Takes over a changed row of the servers' table.
    pub fn change_server(&mut self, now: Millis, row: &Row) -> Result<Outcome, DecodeError> {
        self.known.servers_changed = self.known.servers_changed.max(row.version);
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
                // A row that cannot be read names no server to use.
                self.remove_server(now, &row.key);
                Err(err)
            }
        }
    }

    fn remove_server(&mut self, now: Millis, key: &str) -> Outcome {
        match BackendId::try_from(key) {
            Ok(id) => self.roster.remove(now, &id),
            Err(_) => Outcome::Unchanged,
        }
    }

    /// Forgets servers that are gone.
    pub fn forget(&mut self, now: Millis) {
        self.roster.forget(now, REMEMBER_LEFT);
        let roster = &self.roster;
        self.fleet.retain(|id| roster.usable(now, id).is_some());
    }
}
