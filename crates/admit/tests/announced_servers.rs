//! Guards against requests to servers that announced that they leave or rest, and against hosts and
//! callers that come back to them in one wave.

mod common;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use bv_admit::{AnnouncedChange, Announcement, Announcements, Block, Instance};
use bv_admit::{MAX_INSTANCES, MAX_REST};
use bv_roster::{Registration, Roster, ServerState};
use bv_types::{Millis, Tokens};
use common::{server, service};

const CASES: u64 = 5_000;
const INPUT_BYTES: u64 = 512;
/// Multiplier that spreads case numbers over the seeds; small seeds start with similar bytes.
const SEED_MULTIPLIER: u64 = 0x9E37_79B9;

const LEAVING: Announcement = Announcement {
    leaving: true,
    rest: None,
};

fn rest(ms: u64) -> Announcement {
    Announcement {
        leaving: false,
        rest: Some(Millis(ms)),
    }
}

fn started(name: &str, at: u64) -> Registration {
    Registration {
        started_at: Some(Millis(at)),
        ..server(name, "north", None)
    }
}

fn instance(name: &str, at: u64) -> Instance {
    Instance::from(&started(name, at))
}

#[test]
fn leaving_is_final() {
    let mut announced = Announcements::new(1);
    let old = instance("a", 5);
    let change = announced.record(Millis(10), &old, LEAVING);
    assert_eq!(change, Some(AnnouncedChange::Leaves));
    assert_eq!(announced.record(Millis(11), &old, LEAVING), None);
    assert_eq!(announced.record(Millis(12), &old, rest(50)), None);
    assert!(announced.end_rests(Millis(1_000)).is_empty());
    assert_eq!(
        announced.block(Millis::MAX, &old),
        Some(Block::Leaving),
        "the rest is over, the server still leaves"
    );
    // Another server at the same address, and a later process under the same id.
    assert!(announced.may_send(Millis(12), &started("b", 5)));
    assert!(announced.may_send(Millis(12), &started("a", 6)));
}

#[test]
fn rests_do_not_shorten() {
    let mut announced = Announcements::new(1);
    let a = instance("a", 5);
    let change = announced.record(Millis(0), &a, rest(3_000));
    assert!(matches!(change, Some(AnnouncedChange::Rests { until }) if until >= Millis(3_000)));
    assert_eq!(announced.record(Millis(100), &a, rest(100)), None);
    assert_eq!(
        announced.record(Millis(200), &a, Announcement::default()),
        None
    );
    assert!(announced.block(Millis(2_999), &a).is_some());
    assert!(!announced.may_release(Millis(2_999), &a));
    assert_eq!(announced.end_rests(Millis(2_999)), []);
    assert_eq!(announced.end_rests(Millis(3_600)), std::slice::from_ref(&a));
    assert_eq!(announced.block(Millis(3_600), &a), None);
    assert_eq!(announced.record(Millis(4_000), &a, rest(0)), None);
    assert!(announced.is_empty());
}

#[test]
fn longest_rest() {
    let mut announced = Announcements::new(1);
    let a = instance("a", 5);
    announced.record(Millis(0), &a, rest(u64::MAX));
    assert!(announced.block(MAX_REST - Millis(1), &a).is_some());
    assert_eq!(announced.block(MAX_REST + Millis(500), &a), None);
}

#[test]
fn memory_is_bounded() {
    let mut announced = Announcements::new(1);
    for n in 0..MAX_INSTANCES as u64 + 100 {
        announced.record(Millis(n), &instance("a", n), LEAVING);
    }
    assert_eq!(announced.len(), MAX_INSTANCES);
    let newest = instance("a", MAX_INSTANCES as u64 + 99);
    assert!(announced.block(Millis::MAX, &newest).is_some());
}

#[test]
fn refusal_if_all_rest() {
    let now = Millis(1_000);
    let servers = [started("a", 1), started("b", 1), started("c", 1)];
    let mut announced = Announcements::new(1);
    announced.record(now, &instance("a", 1), rest(900));
    announced.record(now, &instance("b", 1), LEAVING);
    let longest = Millis(2_000);
    assert_eq!(announced.all_resting(now, longest, servers.iter()), None);
    announced.record(now, &instance("c", 1), rest(2_000));
    let refusal = announced.all_resting(now, longest, servers.iter()).unwrap();
    let first = refusal.until - now;
    assert!((900..=1_080).contains(&first.0), "{refusal:?}");
    let retry_after = refusal.retry_after.unwrap();
    assert!(
        first <= retry_after && retry_after <= longest,
        "{refusal:?}"
    );
    let refusal = announced.all_resting(now, Millis(800), servers.iter());
    assert_eq!(refusal.unwrap().retry_after, None, "it returns too late");
    announced.record(now, &instance("a", 1), LEAVING);
    announced.record(now, &instance("c", 1), LEAVING);
    assert_eq!(announced.all_resting(now, longest, servers.iter()), None);
    assert_eq!(announced.all_resting(now, longest, [].iter()), None);
}

/// Largest number of `times` within any span of 50 ms.
fn largest_wave(mut times: Vec<Millis>) -> usize {
    times.sort();
    let within = |at: &Millis| {
        let span = times
            .iter()
            .filter(|t| *at <= **t && **t < *at + Millis(50));
        span.count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// Guards against hosts that a server turned away at the same moment and that return at one moment.
#[test]
fn hosts_return_apart() {
    let a = instance("a", 1);
    let ends = (0..200).map(|seed| {
        let mut announced = Announcements::new(seed);
        match announced.record(Millis(0), &a, rest(2_000)) {
            Some(AnnouncedChange::Rests { until }) => until,
            other => panic!("{other:?}"),
        }
    });
    let ends: Vec<Millis> = ends.collect();
    assert!(
        ends.iter().all(|at| (2_000..=2_400).contains(&at.0)),
        "{ends:?}"
    );
    // Evenly spread over 400 ms, an eighth of them return within 50 ms.
    assert!(largest_wave(ends) < 50);
}

/// Guards against callers that were refused at the same moment and that retry at one moment.
#[test]
fn callers_return_apart() {
    let servers = [started("a", 1)];
    let mut announced = Announcements::new(7);
    announced.record(Millis(0), &instance("a", 1), rest(1_600));
    let returns = (0..200).map(|_| {
        let refusal = announced.all_resting(Millis(0), Millis(5_000), servers.iter());
        let refusal = refusal.unwrap();
        let retry_after = refusal.retry_after.unwrap();
        let latest = refusal.until.0 * 5 / 4;
        assert!((refusal.until.0..=latest).contains(&retry_after.0));
        retry_after
    });
    assert!(largest_wave(returns.collect()) < 50);
}

/// Compares the announcements with a simple model under random orders of announcements, rows and
/// restarts.
#[test]
fn announcements_match_model() {
    for case in 1..=CASES {
        let seed = case.wrapping_mul(SEED_MULTIPLIER) << 32 | INPUT_BYTES;
        arbtest(check_case).seed(seed);
    }
}

fn check_case(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    const NAMES: [&str; 2] = ["a", "b"];
    const STARTS: u64 = 3;
    let service = service();
    let mut announced = Announcements::new(u.arbitrary()?);
    let mut roster = Roster::default();
    // Whether each instance left, and the shortest and longest end of its rest.
    let mut model = [[(false, Millis::ZERO, Millis::ZERO); STARTS as usize]; NAMES.len()];
    let mut now = Millis(1_000);
    for _ in 0..u.int_in_range(1..=40)? {
        let name = u.choose_index(NAMES.len())?;
        let start = u.int_in_range(0..=STARTS - 1)?;
        let row = started(NAMES[name], start);
        let known = &mut model[name][start as usize];
        match u.int_in_range(0..=4)? {
            0 => {
                announced.record(now, &Instance::from(&row), LEAVING);
                known.0 = true;
            }
            1 => {
                let ms = u.int_in_range(0..=3_000)?;
                announced.record(now, &Instance::from(&row), rest(ms));
                if ms > 0 {
                    known.1 = known.1.max(now + Millis(ms));
                    known.2 = known.2.max(now + Millis(ms + ms / 5));
                }
            }
            2 => {
                let state = match u.arbitrary()? {
                    true => ServerState::Ready,
                    false => ServerState::Leaving,
                };
                let sequence = u.int_in_range(0..=9)?;
                roster.put(
                    now,
                    Registration {
                        state,
                        sequence,
                        ..row
                    },
                );
            }
            3 => {
                if u.arbitrary()? {
                    roster.store_recovered(now);
                }
                roster.remove(now, &row.id);
            }
            _ => {
                now = now + Millis(u.int_in_range(0..=1_000)?);
                if u.arbitrary()? {
                    announced.end_rests(now);
                }
            }
        }
        for (name, instances) in model.iter().enumerate() {
            for (start, (left, shortest, longest)) in instances.iter().enumerate() {
                let block = announced.block(now, &instance(NAMES[name], start as u64));
                match block {
                    Some(Block::Leaving) => assert!(*left),
                    Some(Block::Resting { until }) => {
                        assert!(!*left && *shortest <= until && until <= *longest);
                    }
                    None => assert!(!*left && *shortest <= now),
                }
            }
        }
        for entry in announced.allowed(now, roster.of_service(now, &service)) {
            let at = NAMES.iter().position(|name| *name == entry.id.as_str());
            let start = entry.started_at.unwrap().0 as usize;
            let (left, shortest, _) = model[at.unwrap()][start];
            assert!(!left && shortest <= now, "{entry:?}");
        }
    }
    Ok(())
}

/// One simulated server: when its processes start, leave and end, and when they rest.
struct SimServer {
    name: String,
    /// Start of each process, the time from which its answers announce that it leaves, and its end.
    processes: Vec<(Millis, Millis, Millis)>,
    /// Start and end of each time in which it turns requests away, and the rest that it asks for.
    rests: Vec<(Millis, Millis, Millis)>,
}

impl SimServer {
    fn new(n: usize, rng: &mut fastrand::Rng) -> Self {
        let mut processes = Vec::new();
        let mut at = Millis::ZERO;
        while at < SIM_END {
            let leaves = at + Millis(rng.u64(8_000..20_000));
            let ends = leaves + Millis(rng.u64(2_000..6_000));
            processes.push((at, leaves, ends));
            at = ends + Millis(rng.u64(500..2_000));
        }
        let mut rests = Vec::new();
        let mut at = Millis(rng.u64(0..6_000));
        while at < SIM_END {
            let end = at + Millis(rng.u64(100..2_000));
            rests.push((at, end, Millis(rng.u64(300..4_000))));
            at = end + Millis(rng.u64(1_000..8_000));
        }
        SimServer {
            name: format!("s{n}"),
            processes,
            rests,
        }
    }

    /// The process that runs at a time.
    fn process(&self, at: Millis) -> Option<&(Millis, Millis, Millis)> {
        self.processes.iter().find(|p| p.0 <= at && at < p.2)
    }

    fn announcement(&self, at: Millis, leaves: Millis) -> Announcement {
        let resting = self.rests.iter().find(|r| r.0 <= at && at < r.1);
        Announcement {
            leaving: leaves <= at,
            rest: resting.map(|r| r.2),
        }
    }
}

const SIM_END: Millis = Millis(60_000);
const HOSTS: usize = 12;
const SERVERS: usize = 10;
/// Time after the answer from which a rest is binding.
const REST_BINDS_AFTER: Millis = Millis(500);

/// A request on its way.
struct Sent {
    host: usize,
    server: usize,
    started_at: Millis,
    chosen_at: Millis,
    arrives: Millis,
}

/// An answer on its way.
struct Answered {
    arrives: Millis,
    host: usize,
    instance: Instance,
    announcement: Announcement,
}

/// Guards against a request that is chosen for a server after an answer announced its leaving, or
/// that arrives during a rest. Rows of the store are up to two seconds old at each host.
#[test]
fn many_hosts_obey() {
    for seed in 0..8 {
        play(seed);
    }
}

fn play(seed: u64) {
    let rng = &mut fastrand::Rng::with_seed(seed);
    let servers: Vec<SimServer> = (0..SERVERS).map(|n| SimServer::new(n, rng)).collect();
    let mut hosts: Vec<Announcements> = (0..HOSTS).map(|n| Announcements::new(n as u64)).collect();
    let ages: Vec<Millis> = (0..HOSTS).map(|_| Millis(rng.u64(0..2_000))).collect();
    let mut sent: Vec<Sent> = Vec::new();
    let mut answered: Vec<Answered> = Vec::new();
    // Announcements: host, server, start of its process, when it answered, when that was received.
    let mut leaving: Vec<(usize, usize, Millis, Millis)> = Vec::new();
    let mut rests: Vec<(usize, usize, Millis, Millis, Millis)> = Vec::new();
    let (mut arrivals, mut later_processes) = (0, 0);
    for now in (0..SIM_END.0).step_by(2).map(Millis) {
        for host in 0..HOSTS {
            for answer in answered.extract_if(.., |a| a.host == host && a.arrives <= now) {
                hosts[host].record(now, &answer.instance, answer.announcement);
                if answer.announcement.leaving {
                    let at = servers
                        .iter()
                        .position(|s| s.name == answer.instance.id.as_str());
                    let start = answer.instance.started_at.unwrap();
                    leaving.push((host, at.unwrap(), start, now));
                }
            }
            if rng.u64(0..25) != 0 {
                continue;
            }
            let read_at = now - ages[host];
            let rows = servers.iter().filter_map(|s| {
                let process = s.process(read_at)?;
                Some(started(&s.name, process.0.0))
            });
            let rows: Vec<Registration> = rows.collect();
            let allowed: Vec<&Registration> = hosts[host].allowed(now, rows.iter()).collect();
            let Some(entry) = rng.choice(&allowed) else {
                continue;
            };
            let at = servers.iter().position(|s| s.name == entry.id.as_str());
            sent.push(Sent {
                host,
                server: at.unwrap(),
                started_at: entry.started_at.unwrap(),
                chosen_at: now,
                arrives: now + Millis(rng.u64(1..40)),
            });
        }
        for req in sent.extract_if(.., |req| req.arrives <= now) {
            let server = &servers[req.server];
            // Another process refuses the request as misdirected, which announces nothing.
            let process = server.process(now).filter(|p| p.0 == req.started_at);
            let Some((start, leaves, _)) = process else {
                continue;
            };
            arrivals += 1;
            later_processes += usize::from(*start > Millis::ZERO);
            let told = leaving.iter().find(|(host, at, of, received)| {
                (*host, *at, *of) == (req.host, req.server, *start) && *received <= req.chosen_at
            });
            assert_eq!(
                told, None,
                "seed {seed}: a request at {now} to a leaving server"
            );
            let told = rests.iter().find(|(host, at, of, from, until)| {
                (*host, *at, *of) == (req.host, req.server, *start) && *from <= now && now < *until
            });
            assert_eq!(
                told, None,
                "seed {seed}: a request at {now} to a resting server"
            );
            let announcement = server.announcement(now, *leaves);
            if let Some(rest) = announcement.rest {
                let binds = now + REST_BINDS_AFTER;
                rests.push((req.host, req.server, *start, binds, now + rest));
            }
            answered.push(Answered {
                arrives: now + Millis(rng.u64(1..200)),
                host: req.host,
                instance: instance(&server.name, start.0),
                announcement,
            });
        }
        if now.0.is_multiple_of(1_000) {
            hosts.iter_mut().for_each(|host| drop(host.end_rests(now)));
        }
    }
    assert!(
        arrivals > 1_000 && later_processes > 100,
        "seed {seed}: {arrivals} arrivals"
    );
    assert!(!leaving.is_empty() && !rests.is_empty());
}

/// Guards against placements that ignore announcements: a plain call goes to the other server.
#[test]
fn placement_among_allowed() {
    let servers = [started("a", 1), started("b", 1)];
    let mut announced = Announcements::new(1);
    let mut fleet = bv_admit::Fleet::new(1);
    announced.record(Millis(0), &instance("a", 1), LEAVING);
    let (service, zone) = (service(), common::zone("north"));
    for n in 0..20 {
        let work = bv_admit::Work {
            tokens: Tokens(0),
            stuck_after: Millis(240),
        };
        let entries = announced.allowed(Millis(n), servers.iter());
        let query = common::call_request(&service, &zone, &[]);
        let choice = fleet.place_call(Millis(n), query, entries).unwrap();
        assert_eq!(choice.server.id.as_str(), "b");
        fleet.begin(Millis(n), &choice.server.id, work);
    }
}
