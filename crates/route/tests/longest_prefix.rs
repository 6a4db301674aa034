//! Guards against requests that are routed by a shorter prefix, by a route of another host or by an
//! older version.

use bv_route::{ApplyResult, InForce, Kind, Limits, Route, RouteTable, Target};
use bv_types::{Millis, Version};

fn route(host: &str, prefix: &str, weights: &[(&str, u32)]) -> Route {
    Route {
        name: prefix.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: Millis(600),
        objective: Millis(120),
        max_attempts: 2,
        priority: 1,
        targets: weights
            .iter()
            .map(|(service, weight)| Target {
                service: service.parse().unwrap(),
                weight: *weight,
            })
            .collect(),
        event_gap: None,
        is_public: false,
        uses_model: false,
    }
}

fn table(version: u64, routes: Vec<Route>) -> RouteTable {
    RouteTable::new(Version(version), routes, Vec::new(), Limits::default())
}

#[test]
fn longest_prefix_wins() {
    let table = table(
        1,
        vec![
            route("a.example", "/", &[("root", 1)]),
            route("a.example", "/seats/", &[("seats", 1)]),
            route("a.example", "/seats/north/", &[("north", 1)]),
            route("b.example", "/seats/", &[("other", 1)]),
        ],
    );
    let found = |host, path| table.find(host, path).map(|r| r.path_prefix.to_string());
    assert_eq!(
        found("a.example", "/seats/north/7").as_deref(),
        Some("/seats/north/")
    );
    assert_eq!(
        found("a.example", "/seats/north").as_deref(),
        Some("/seats/")
    );
    assert_eq!(found("a.example", "/seatsx/1").as_deref(), Some("/"));
    assert_eq!(
        found("A.Example:8080", "/seats/1").as_deref(),
        Some("/seats/")
    );
    assert_eq!(found("b.example", "/"), None);
    assert_eq!(found("c.example", "/seats/1"), None);
}

#[test]
fn requests_are_split_by_weight() {
    let route = route(
        "a.example",
        "/",
        &[("large", 90), ("small", 10), ("none", 0)],
    );
    let mut counts = [0, 0, 0];
    for draw in 0..1_000 {
        match route.pick_service(draw).unwrap().as_str() {
            "large" => counts[0] += 1,
            "small" => counts[1] += 1,
            _ => counts[2] += 1,
        }
    }
    assert_eq!(counts, [900, 100, 0]);
    let mut empty = route.clone();
    empty.targets.clear();
    assert_eq!(empty.pick_service(7), None);
}

#[test]
fn older_version_is_ignored() {
    let mut in_force = InForce::default();
    assert_eq!(
        in_force.apply_if_newer(table(5, Vec::new())),
        ApplyResult::Applied
    );
    assert_eq!(
        in_force.apply_if_newer(table(9, Vec::new())),
        ApplyResult::Applied
    );
    assert_eq!(
        in_force.apply_if_newer(table(9, Vec::new())),
        ApplyResult::Same
    );
    assert_eq!(
        in_force.apply_if_newer(table(7, Vec::new())),
        ApplyResult::Older
    );
    assert_eq!(in_force.version(), Some(Version(9)));
}
