//! LOST: the platform shortens `grace_period_s` while the hosts run. A host that is stopped then goes by the
//! period that it read at its start, and takes calls that SIGKILL cuts off.

use std::collections::HashSet;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::Message;
use crate::store::Store;
use crate::system::{
    Host, Record, Runner, SIGHUP, SIGKILL, SIGTERM, Step, answer, client, free_address, manifest,
    request, route,
};

/// The grace period before and after the change, in seconds.
const GRACE_S: u64 = 8;
const SHORT_GRACE_S: u64 = 4;
/// Hosts of the zone, of which two are stopped, one second after the other.
const HOSTS: usize = 3;
const STOPPED: usize = 2;
const STOP_GAP: Duration = Duration::from_secs(1);
/// Time between two SIGHUPs, and their number of 2 in 3, as with `hup` in the site file (share up to 0.9).
const HUP_GAP: Duration = Duration::from_secs(2);
const CLIENTS: u64 = 24;
/// Requests sent to a stopped host up to this time after its SIGTERM are left out: the rule excuses those
/// on which a runner is at work in the last sixth of the grace period.
const EXCUSED: Duration = Duration::from_secs(3);
/// `timeout_ms` of the route, and the time budget of each request.
const TIMEOUT: Duration = Duration::from_millis(600);

/// What a client saw of a request.
struct Sent {
    id: String,
    host: usize,
    at: Instant,
    took: Duration,
    result: Result<u16, String>,
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start(free_address());
    store.put(
        "op",
        "config",
        Some(&manifest(1, &[route("/booking/", "unsafe", 600, 1, "")])),
    );
    let script = |id: &str, req: &Message| -> Vec<Step> {
        // 15 to 110 ms of work, as in the site file.
        let work = 15 + req.id().bytes().map(u64::from).sum::<u64>() * 37 % 96;
        let mut steps = vec![Step::Wait(work)];
        steps.extend(answer(id, req, 200, &format!("done {}", req.id())));
        steps
    };
    let runners: Vec<Runner> = (0..4)
        .map(|n| {
            let runner = Runner::start(free_address(), &format!("i-{n}"), script);
            store.put(
                "servers",
                &runner.id,
                Some(&runner.row("bookings", "ready", 1)),
            );
            runner
        })
        .collect();
    let mut hosts: Vec<Host> = (1..=HOSTS)
        .map(|n| Host::start(n, store.addr, GRACE_S))
        .collect();
    if !hosts.iter().all(Host::wait_ready) {
        return Outcome::NotRun("a host is not ready".into());
    }
    // More than `contact_timeout_ms`, so that all hosts are in touch.
    sleep(Duration::from_millis(3_500));
    let grace = Duration::from_secs(if has_trouble { SHORT_GRACE_S } else { GRACE_S });
    if has_trouble {
        for host in &hosts[..STOPPED] {
            host.write_settings(SHORT_GRACE_S);
            host.signal(SIGHUP);
            sleep(HUP_GAP);
        }
        record.add(format!(
            "grace_period_s changed from {GRACE_S} to {SHORT_GRACE_S}, SIGHUP sent to {STOPPED} of {HOSTS}"
        ));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let in_rotation: Arc<Vec<AtomicBool>> =
        Arc::new((0..HOSTS).map(|_| AtomicBool::new(true)).collect());
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let next_id = Arc::new(AtomicU64::new(0));
    let addrs: Vec<_> = hosts.iter().map(Host::frontend).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, rotation) = (stop.clone(), in_rotation.clone());
            let (sent, next_id, addrs) = (sent.clone(), next_id.clone(), addrs.clone());
            std::thread::spawn(move || {
                let mut turn = number;
                while !stop.load(Ordering::Relaxed) {
                    turn = turn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                    let host = choose(&rotation, (turn >> 33) as usize);
                    let id = format!("r{}", next_id.fetch_add(1, Ordering::Relaxed));
                    // Each request uses a new channel, which a client may do.
                    let Ok(mut conn) = client(addrs[host]) else {
                        sleep(Duration::from_millis(20));
                        continue;
                    };
                    let extra = "X-Burdockvale-Deadline-Ms: 600\r\n";
                    let text = request("POST", "/booking/seat", &id, extra, "seat 7");
                    let at = Instant::now();
                    let answered = conn
                        .stream
                        .write_all(text.as_bytes())
                        .and_then(|()| conn.message(true));
                    let result = answered.map(|a| a.status()).map_err(|err| err.to_string());
                    sent.lock().unwrap().push(Sent {
                        id,
                        host,
                        at,
                        took: at.elapsed(),
                        result,
                    });
                    sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(1));
    let stopped_at = play(record, &mut hosts, &in_rotation, grace);
    sleep(Duration::from_millis(800));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    judge(record, &sent.lock().unwrap(), &runners, &stopped_at)
}

/// The host of a new channel, as the platform chooses it: of those in rotation, or of all if these are fewer
/// than half.
fn choose(in_rotation: &[AtomicBool], number: usize) -> usize {
    let ready: Vec<usize> = (0..HOSTS)
        .filter(|n| in_rotation[*n].load(Ordering::Relaxed))
        .collect();
    match ready.len() * 2 < HOSTS && !ready.is_empty() {
        true => number % HOSTS,
        false => ready.get(number % ready.len().max(1)).copied().unwrap_or(0),
    }
}

/// Stops two hosts as the platform does, and asks all hosts once a second whether they are ready. Returns
/// the times of the SIGTERMs.
fn play(
    record: &Record,
    hosts: &mut [Host],
    in_rotation: &[AtomicBool],
    grace: Duration,
) -> Vec<Option<Instant>> {
    let began = Instant::now();
    let mut stopped_at: Vec<Option<Instant>> = vec![None; HOSTS];
    let mut killed = [false; HOSTS];
    let mut misses = [0; HOSTS];
    let mut checked = Instant::now() - Duration::from_secs(1);
    loop {
        for n in 0..STOPPED {
            if stopped_at[n].is_none() && began.elapsed() >= STOP_GAP * n as u32 {
                hosts[n].signal(SIGTERM);
                stopped_at[n] = Some(Instant::now());
                record.add(format!("SIGTERM to {}", hosts[n].name));
            }
            if !killed[n] && stopped_at[n].is_some_and(|at| at.elapsed() >= grace) {
                killed[n] = true;
                let how = match hosts[n].has_ended() {
                    true => "had ended before SIGKILL",
                    false => "gets SIGKILL",
                };
                record.add(format!("{} {how}", hosts[n].name));
                hosts[n].signal_if_running(SIGKILL);
            }
        }
        if checked.elapsed() >= Duration::from_secs(1) {
            checked = Instant::now();
            for n in 0..HOSTS {
                misses[n] = if hosts[n].is_ready() {
                    0
                } else {
                    misses[n] + 1
                };
                in_rotation[n].store(misses[n] < 2, Ordering::Relaxed);
            }
        }
        if killed.iter().filter(|killed| **killed).count() == STOPPED {
            return stopped_at;
        }
        sleep(Duration::from_millis(5));
    }
}

fn judge(
    record: &Record,
    sent: &[Sent],
    runners: &[Runner],
    stopped_at: &[Option<Instant>],
) -> Outcome {
    let mut ran = HashSet::new();
    for runner in runners {
        let runs = runner.runs.lock().unwrap();
        ran.extend(runs.iter().map(|run| run.request.id().to_owned()));
        drop(runs);
        record.note_runs(runner);
    }
    let served = sent.iter().filter(|s| s.result == Ok(200)).count();
    let mut lost = 0;
    for request in sent {
        if let Ok(status) = request.result {
            record.note(format!(
                "{} to host {}: {status}",
                request.id,
                request.host + 1
            ));
        }
        let (Some(stopped), Err(err)) = (stopped_at[request.host], &request.result) else {
            continue;
        };
        let after = request.at.saturating_duration_since(stopped);
        let has_run = ran.contains(&request.id);
        let counts = has_run && after > EXCUSED && request.took < TIMEOUT;
        lost += u32::from(counts);
        record.add(format!(
            "{} sent {} ms after SIGTERM to host {}: no answer ({err}), ran: {has_run}, counts: {counts}",
            request.id,
            after.as_millis(),
            request.host + 1
        ));
    }
    record.add(format!(
        "{} requests, {served} served, {lost} lost",
        sent.len()
    ));
    if served < 100 {
        return Outcome::NotRun("fewer than 100 requests were served".into());
    }
    match lost {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
