//! One host, with the rules of `bv_edge::state`, which cannot be used here, as it is private.

use std::collections::HashMap;

use bv_lease::{RoundTimes, Term};
use bv_roster::{Answer, Registration, Rejected, Roster, Row, ServerState, TableAnswer, TableCopy};
use bv_route::{InForce, Limits, RouteTable};
use bv_types::{BackendId, Era, Millis, Version};

use super::store::Table;

pub struct Call {
    pub table: Table,
    pub after: Option<Version>,
    pub began: u64,
    pub arrives: Option<u64>,
    pub answer: Option<Answer>,
}

pub struct TermCall {
    pub read_in: (Era, Option<Version>),
    pub executes: u64,
    pub term: Term,
}

pub struct Host {
    pub config: TableCopy,
    pub servers: TableCopy,
    pub roster: Roster,
    pub in_force: InForce,
    pub rounds: RoundTimes,
    pub calls: Vec<Call>,
    /// Replies of other hosts on their way.
    pub replies: Vec<(u64, Table, TableAnswer, Millis)>,
    pub term: Option<TermCall>,
    pub cut_until: u64,
    /// Times from which servers may not be used any more, as this process learned that they left.
    pub left: HashMap<BackendId, Millis>,
    /// Configuration in force at the latest check.
    pub version: Option<Version>,
}

impl Host {
    pub fn new(now: u64) -> Self {
        Host {
            config: TableCopy::default(),
            servers: TableCopy::default(),
            roster: Roster::default(),
            in_force: InForce::default(),
            rounds: RoundTimes::default(),
            calls: Vec::new(),
            replies: Vec::new(),
            term: None,
            cut_until: now,
            left: HashMap::new(),
            version: None,
        }
    }

    pub fn copy(&mut self, table: Table) -> &mut TableCopy {
        match table {
            Table::Config => &mut self.config,
            _ => &mut self.servers,
        }
    }

    pub fn take(&mut self, now: Millis, table: Table, answer: Answer) -> Result<(), Rejected> {
        let before = self.copy(table).position().map(|_| self.copy(table).era());
        let is_of_store = !matches!(answer, Answer::Peer(_));
        let rows = self.copy(table).take(answer)?;
        let is_new_era = before.is_some_and(|era| self.copy(table).era() > era);
        if table == Table::Config {
            for row in rows.iter().filter(|row| row.value.is_some()) {
                let version = text(row).parse().unwrap();
                let table = RouteTable::new(Version(version), vec![], vec![], Limits::default());
                self.in_force.apply_if_newer(table);
            }
            return Ok(());
        }
        if is_new_era && is_of_store {
            self.roster.store_recovered(now);
        }
        for row in &rows {
            let id: BackendId = row.key.as_str().parse().unwrap();
            match &row.value {
                None if is_new_era => drop(self.roster.lose(now, &id)),
                None => {
                    self.roster.remove(now, &id);
                    let from = now + self.roster.grace_left(now);
                    self.left.entry(id).or_insert(from);
                }
                Some(_) => {
                    let registration = registration(&id, text(row));
                    if registration.state == ServerState::Leaving {
                        self.left.insert(id, now);
                    }
                    match is_new_era {
                        true => self.roster.put_restored(now, registration),
                        false => self.roster.put(now, registration),
                    };
                }
            }
        }
        Ok(())
    }
}

pub fn text(row: &Row) -> &str {
    std::str::from_utf8(row.value.as_ref().unwrap()).unwrap()
}

fn registration(id: &BackendId, value: &str) -> Registration {
    let (state, sequence) = value.split_once(' ').unwrap();
    Registration {
        id: id.clone(),
        service: "plain".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z1".parse().unwrap(),
        slots: 6,
        state: match state {
            "ready" => ServerState::Ready,
            _ => ServerState::Leaving,
        },
        stage: None,
        started_at: Some(Millis(1)),
        sequence: sequence.parse().unwrap(),
    }
}
