//! Guards against hosts that all read all tables when they start together, and against a start that
//! takes longer with more hosts. Simulated without a network: the store serves calls at a limited
//! rate, hosts have a tenth of a processor, and readers send few replies at once.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bv_roster::{AgeBounds, HostEntry, SourceChoice};
use bv_types::Millis;
use fastrand::Rng;

const STEP: u64 = 10;
/// Latency of a call to the store, and calls that it serves in a step (6,000 a second).
const STORE_LATENCY: u64 = 10;
const STORE_CALLS_PER_STEP: usize = 60;
/// Pages of 3,000 servers, and the time in which a host decodes one.
const PAGES: usize = 6;
const PAGE_DECODE: u64 = 120;
/// Time in which a follower decodes all rows.
const ROWS_DECODE: u64 = 500;
/// Replies with all rows that a reader sends at once, and the time that each takes.
const REPLIES_AT_ONCE: usize = 8;
const REPLY_TIME: u64 = 100;
/// Pause of a follower for which a reader has no room, and of one that has no source.
const BUSY_PAUSE: u64 = 150;
const NO_SOURCE_PAUSE: u64 = 100;
/// Time within which service must resume.
const RECOVERY: u64 = 15_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Doing {
    /// A call that the store has not served yet.
    Queued,
    /// A served call or its decoding, until then.
    Until(u64),
}

struct Host {
    entry: HostEntry,
    choice: SourceChoice,
    is_dead: bool,
    started: u64,
    /// The call for the list of hosts.
    list: Option<Doing>,
    is_listed: bool,
    /// The call for a page of the servers.
    page: Option<Doing>,
    pages: usize,
    has_rows: bool,
    /// A reply that this host receives and decodes, and the time of the next query.
    reply: Option<(usize, u64)>,
    ask_at: u64,
    /// Ends of the replies that this host sends.
    sending: Vec<u64>,
}

struct Start {
    calls: usize,
    busiest_second: usize,
    last_ready: Option<u64>,
}

/// Starts hosts within 300 ms, with the rows of their former processes in the store. Of the hosts in
/// `dead`, only these rows are left.
fn start(
    (count, zones): (usize, usize),
    choice: impl Fn(Millis) -> SourceChoice,
    is_dead: impl Fn(&SourceChoice, usize) -> bool,
    seed: u64,
) -> Start {
    let mut rng = Rng::with_seed(seed);
    let entries: Vec<HostEntry> = (0..count)
        .map(|n| HostEntry {
            id: format!("host-{n}").parse().unwrap(),
            zone: Some(format!("zone-{}", n % zones).parse().unwrap()),
            addr: SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7380)),
        })
        .collect();
    let others = |own: &HostEntry| -> Vec<HostEntry> {
        entries.iter().filter(|e| e.id != own.id).cloned().collect()
    };
    let mut hosts: Vec<Host> = entries
        .iter()
        .enumerate()
        .map(|(n, entry)| {
            let started = 1_000_000 + rng.u64(..300) / STEP * STEP;
            let mut known = SourceChoice::new(AgeBounds::new(Millis(2_000)));
            known.set_hosts(entry, &others(entry));
            Host {
                entry: entry.clone(),
                choice: choice(Millis(started)),
                is_dead: is_dead(&known, n),
                started,
                list: None,
                is_listed: false,
                page: None,
                pages: 0,
                has_rows: false,
                reply: None,
                ask_at: 0,
                sending: Vec::new(),
            }
        })
        .collect();
    let mut queue: VecDeque<(usize, bool)> = VecDeque::new();
    let mut calls: Vec<u64> = Vec::new();
    let mut last_ready = None;
    for now in (1_000_000..1_000_000 + 60_000).step_by(STEP as usize) {
        for _ in 0..STORE_CALLS_PER_STEP {
            let Some((n, is_list)) = queue.pop_front() else {
                break;
            };
            let decode = if is_list { 20 } else { PAGE_DECODE };
            let done = Some(Doing::Until(now + STORE_LATENCY + decode));
            match is_list {
                true => hosts[n].list = done,
                false => hosts[n].page = done,
            }
        }
        for n in 0..count {
            if hosts[n].is_dead || now < hosts[n].started {
                continue;
            }
            step(
                &mut hosts, n, now, &others, &mut queue, &mut calls, &mut rng,
            );
        }
        if hosts.iter().all(|host| host.has_rows || host.is_dead) {
            last_ready = Some(now - 1_000_000);
            break;
        }
    }
    let busiest = calls.iter().map(|from| {
        let second = calls.iter().filter(|at| (*from..from + 1_000).contains(at));
        second.count()
    });
    Start {
        calls: calls.len(),
        busiest_second: busiest.max().unwrap_or(0),
        last_ready,
    }
}

fn step(
    hosts: &mut [Host],
    n: usize,
    now: u64,
    others: &impl Fn(&HostEntry) -> Vec<HostEntry>,
    queue: &mut VecDeque<(usize, bool)>,
    calls: &mut Vec<u64>,
    rng: &mut Rng,
) {
    let is_over = |doing: Option<Doing>| matches!(doing, Some(Doing::Until(at)) if now >= at);
    let host = &mut hosts[n];
    host.sending.retain(|until| now < *until);
    if host.list.is_none() {
        host.list = Some(Doing::Queued);
        queue.push_back((n, true));
        calls.push(now);
    } else if !host.is_listed && is_over(host.list) {
        host.is_listed = true;
        let entry = host.entry.clone();
        host.choice.set_hosts(&entry, &others(&entry));
        host.choice.record_hosts_known(Millis(now));
    }
    if host.has_rows {
        return;
    }
    if is_over(host.page) {
        host.page = None;
        host.pages += 1;
        if host.pages == PAGES {
            host.has_rows = true;
            host.choice.record_store_answer(Millis(now), Millis(now));
            return;
        }
    }
    if host.page.is_none() && (host.pages > 0 || host.choice.reads_store(Millis(now))) {
        host.page = Some(Doing::Queued);
        queue.push_back((n, false));
        calls.push(now);
    }
    if let Some((source, until)) = host.reply {
        if now >= until {
            host.has_rows = true;
            let addr = hosts[source].entry.addr;
            hosts[n].choice.record_answer(Millis(now), addr, Millis(50));
        }
        return;
    }
    if now < host.ask_at {
        return;
    }
    let Some(addr) = host.choice.source(Millis(now)) else {
        host.ask_at = now + NO_SOURCE_PAUSE;
        return;
    };
    let source = hosts
        .iter()
        .position(|host| host.entry.addr == addr)
        .unwrap();
    let peer = &mut hosts[source];
    if peer.is_dead || now < peer.started {
        hosts[n].choice.record_silent(Millis(now), addr);
    } else if !peer.has_rows {
        hosts[n].choice.record_outdated(Millis(now), addr);
    } else if peer.sending.len() >= REPLIES_AT_ONCE {
        hosts[n].choice.record_busy(Millis(now));
        hosts[n].ask_at = now + BUSY_PAUSE + rng.u64(..BUSY_PAUSE);
    } else {
        peer.sending.push(now + REPLY_TIME);
        hosts[n].reply = Some((source, now + REPLY_TIME + ROWS_DECODE));
    }
}

fn starting(now: Millis) -> SourceChoice {
    SourceChoice::starting(AgeBounds::new(Millis(2_000)), now)
}

/// A host that reads all tables at once, as all did before.
fn reading(_: Millis) -> SourceChoice {
    SourceChoice::new(AgeBounds::new(Millis(2_000)))
}

fn show(what: &str, hosts: (usize, usize), start: &Start) {
    println!(
        "{} hosts in {} zones, {what}: {} calls, {} in the busiest second, last host ready after {:?} ms",
        hosts.0, hosts.1, start.calls, start.busiest_second, start.last_ready
    );
}

#[test]
fn only_readers_read_all_rows() {
    for hosts in [(64, 3), (300, 4), (1_000, 6)] {
        if hosts.0 <= 300 {
            let all = start(hosts, reading, |_, _| false, 1);
            show("each reads", hosts, &all);
        }
        let few = start(hosts, starting, |_, _| false, 1);
        show("readers read", hosts, &few);
        // A call for the list each, and the pages of the readers; up to 64 hosts all read.
        let readers = if hosts.0 <= 64 { hosts.0 } else { hosts.1 };
        let expected = hosts.0 + readers * PAGES;
        assert!(few.calls <= expected + hosts.0 / 10, "{} calls", few.calls);
        assert!(few.last_ready.is_some_and(|ready| ready <= RECOVERY));
    }
}

#[test]
fn readers_do_not_return() {
    for hosts in [(64, 3), (300, 4)] {
        let outcome = start(hosts, starting, |known, _| known.is_reader(), 2);
        show("readers gone", hosts, &outcome);
        assert!(outcome.last_ready.is_some_and(|ready| ready <= RECOVERY));
    }
}

#[test]
fn half_of_the_hosts_return() {
    for seed in 0..4 {
        let outcome = start(
            (300, 4),
            starting,
            |_, n| (n as u64 + seed).is_multiple_of(2),
            seed,
        );
        show("half gone", (300, 4), &outcome);
        assert!(outcome.last_ready.is_some_and(|ready| ready <= RECOVERY));
    }
}
