//! CPU time and memory of a team's limit at the owner of the team and at an entry host.

use bv_limit::{
    AllowanceRequest, HostAllowances, HostQuotas, HostView, Limits, OwnedQuotas, OwnedTeams, Quota,
    QuotaAsk,
};
use bv_types::{HostId, Incarnation, Millis, TeamId, Tokens};

use crate::measure::{Figure, held_bytes, micros};

const CALLS: u64 = 100_000;

/// Measures allowances for several numbers of teams.
pub fn measure() -> Vec<Figure> {
    let mut figures = Vec::new();
    for teams in [67, 670, 6_700] {
        let ids: Vec<TeamId> = (0..teams)
            .filter_map(|i| format!("team-{i}").parse().ok())
            .collect();
        let hosts: Vec<HostId> = (0..350)
            .filter_map(|i| format!("host-{i}").parse().ok())
            .collect();
        let limits = Limits {
            requests: 5.0.try_into().ok(),
            tokens: Some(Tokens(1_000_000)),
        };
        let request = AllowanceRequest {
            requests: 1,
            tokens: Tokens(2_000),
        };
        let mut owner = OwnedTeams::default();
        let (take, bytes) = held_bytes(|| {
            micros(CALLS, |i| {
                let team = &ids[i as usize % ids.len()];
                let host = &hosts[i as usize % hosts.len()];
                owner.take(Millis(i), team, limits, (host, Incarnation(1)), request)
            })
        });
        let mut allowances = HostAllowances::default();
        let admit = micros(CALLS, |i| {
            let team = &ids[i as usize % ids.len()];
            allowances.admit(Millis(i), team, limits, Tokens(2_000))
        });
        // The names of two figures say `home` for the owner, because recorded figures use them.
        figures.push(Figure::new(
            format!("limit take at home, {teams} teams"),
            take,
            "us",
        ));
        figures.push(Figure::new(
            format!("limit admit, {teams} teams"),
            admit,
            "us",
        ));
        figures.push(Figure::new(
            format!("limit home, {teams} teams"),
            bytes / 1e6,
            "MB",
        ));
    }
    figures.extend(measure_quotas());
    figures
}

/// Measures quotas by cost for several numbers of teams that one host owns, each used by all hosts.
fn measure_quotas() -> Vec<Figure> {
    let mut figures = Vec::new();
    let hosts: Vec<HostId> = (0..350)
        .filter_map(|i| format!("host-{i}").parse().ok())
        .collect();
    let Ok(rate) = 300_000.0.try_into() else {
        return figures;
    };
    let quota = Quota {
        rate,
        burst: 300_000.0,
        tolerance: 410_000.0,
    };
    let view = HostView {
        known: Some(350),
        heard: 349,
    };
    for teams in [1, 20, 6_700] {
        let ids: Vec<TeamId> = (0..teams)
            .filter_map(|i| format!("team-{i}").parse().ok())
            .collect();
        let mut owner = OwnedQuotas::new(Millis(0));
        let (take, bytes) = held_bytes(|| {
            micros(CALLS, |i| {
                let team = &ids[i as usize % ids.len()];
                let host = &hosts[i as usize % hosts.len()];
                let ask = QuotaAsk {
                    id: i,
                    least: 3_500,
                    waiting: 3_500,
                    ahead: 0,
                };
                owner.take(Millis(i / 4), (team, quota), view, host, ask)
            })
        });
        let mut host = HostQuotas::new(1, 0);
        let (request, host_bytes) = held_bytes(|| {
            micros(CALLS, |i| {
                let (now, team) = (Millis(i / 4), &ids[i as usize % ids.len()]);
                let Err(ticket) = host.begin(now, (team, quota), 3_500) else {
                    return;
                };
                if let Some(ask) = host.ask(now, team, view) {
                    let grant = owner.take(now, (team, quota), view, &hosts[0], ask);
                    host.grant(now, team, grant);
                }
                host.state(now, team, ticket, view);
                host.end_wait(now, team, ticket, true);
            })
        });
        let named = |what: &str, value, unit| {
            Figure::new(format!("limit quota {what}, {teams} teams"), value, unit)
        };
        figures.push(named("take at owner", take, "us"));
        figures.push(named("request with its exchange", request, "us"));
        figures.push(named("owner", bytes / 1e6, "MB"));
        figures.push(named("host", host_bytes / 1e6, "MB"));
    }
    figures
}
