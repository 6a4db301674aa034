//! Guards against requests of one team priority that are served in any order: routes order them.

use bv_route::request_priority;

#[test]
fn team_first() {
    assert!(request_priority(Some(0), 9) < request_priority(Some(1), 0));
}

#[test]
fn route_within_team() {
    assert!(request_priority(Some(1), 0) < request_priority(Some(1), 1));
    assert!(request_priority(Some(1), 1) < request_priority(Some(1), 2));
}

#[test]
fn route_without_team_priority() {
    assert!(request_priority(None, 0) < request_priority(Some(1), 0));
    assert!(request_priority(None, 2) > request_priority(Some(1), 2));
}

#[test]
fn largest_numbers() {
    assert_eq!(request_priority(Some(u8::MAX), u8::MAX), u8::MAX);
}
