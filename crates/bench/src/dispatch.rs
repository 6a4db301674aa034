//! CPU time of a plain call at the dispatcher of `bv-dispatch`.

use bv_dispatch::{Ask, AskId, Decision, Dispatcher, SendEnd};
use bv_roster::{Registration, ServerState};
use bv_types::{HostId, Millis};

use crate::measure::{Figure, micros};

const CALLS: u64 = 20_000;
const SERVERS: usize = 16;
const HOSTS: u64 = 64;

/// Measures the ask, grant and end of a call, and the renewal of an ask, with few and many waiting calls.
pub fn measure() -> Vec<Figure> {
    let hosts: Vec<HostId> = (0..HOSTS)
        .filter_map(|n| format!("h-{n}").parse().ok())
        .collect();
    let ask = |now: u64, call: u64, deadline: u64| Ask {
        id: AskId {
            host: hosts[(call % HOSTS) as usize].clone(),
            call,
        },
        priority: 1,
        team: format!("team-{}", call % 16).parse().ok(),
        zone: None,
        arrived: Millis(now),
        on_time_until: Millis(now + 200),
        deadline: Millis(now + deadline),
        tried: Vec::new(),
        key: call,
        sent_at: Millis(now),
    };
    let mut figures = Vec::new();
    for waiting in [0, 100, 1_000] {
        let mut dispatcher = Dispatcher::new(Millis(0));
        let servers: Vec<Registration> = (0..SERVERS).filter_map(server).collect();
        dispatcher.set_servers(Millis(0), servers.iter());
        // Calls of the first 200 ms are not refused.
        let mut held = Vec::new();
        for call in 0..waiting {
            held.extend(granted(dispatcher.ask(Millis(1), ask(1, call, 1_000_000))));
        }
        let renewal = micros(CALLS, |index| match waiting {
            0 => Vec::new(),
            _ => dispatcher.ask(
                Millis(2),
                ask(1, waiting - 1 - index % (waiting / 2), 1_000_000),
            ),
        });
        let call = micros(CALLS, |index| {
            let call = 1_000_000 + index;
            held.extend(granted(dispatcher.ask(Millis(3), ask(3, call, 1_000_000))));
            let took = Millis(30);
            match held.pop() {
                Some(id) => held.extend(granted(dispatcher.end(
                    Millis(3),
                    &id,
                    SendEnd::Answered { took },
                ))),
                None => unreachable!("as many calls are granted as end"),
            }
        });
        figures.push(Figure::new(
            format!("dispatch call, {waiting} in progress or waiting"),
            call,
            "us",
        ));
        if waiting > 0 {
            figures.push(Figure::new(
                format!("dispatch renewed ask, {waiting} in progress or waiting"),
                renewal,
                "us",
            ));
        }
    }
    figures
}

fn granted(actions: Vec<bv_dispatch::Action>) -> Vec<AskId> {
    let grants = actions
        .into_iter()
        .filter(|action| matches!(action.decision, Decision::Grant { .. }));
    grants.map(|action| action.id).collect()
}

fn server(number: usize) -> Option<Registration> {
    Some(Registration {
        id: format!("s-{number}").parse().ok()?,
        service: "calls".parse().ok()?,
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".parse().ok()?,
        slots: 6,
        state: ServerState::Ready,
        stage: None,
        started_at: Some(Millis(1)),
        sequence: 1,
    })
}
