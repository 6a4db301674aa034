//! Role changes follow the load with hysteresis.

use bv_lease::{MIN_CHANGE_INTERVAL, MIN_SHORTAGE_TIME, Role, RoleBalance, RoleLoad};
use bv_types::Millis;

fn role_load(load: f64, engines: usize) -> RoleLoad {
    RoleLoad { load, engines }
}

/// Times and roles of the changes when `load` is reported each second.
fn changes(seconds: u64, load: impl Fn(u64) -> Option<(RoleLoad, RoleLoad)>) -> Vec<(u64, Role)> {
    let mut balance = RoleBalance::default();
    let mut changes = Vec::new();
    for second in 0..seconds {
        if let Some((prefill, decode)) = load(second) {
            let role = balance.report(Millis::from_secs(second), prefill, decode);
            changes.extend(role.map(|role| (second, role)));
        }
    }
    changes
}

/// Guards against engines that change back and forth, and against a role left without engines.
#[test]
fn hysteresis() {
    let (min_shortage, pause) = (MIN_SHORTAGE_TIME.0 / 1_000, MIN_CHANGE_INTERVAL.0 / 1_000);
    type Load = fn(u64) -> Option<(RoleLoad, RoleLoad)>;
    type Case = (&'static str, Load, Vec<(u64, Role)>);
    let cases: [Case; 8] = [
        (
            "balanced",
            |_| Some((role_load(0.6, 3), role_load(0.5, 6))),
            vec![],
        ),
        (
            "prefill is short",
            |_| Some((role_load(0.9, 3), role_load(0.5, 6))),
            vec![
                (min_shortage, Role::Prefill),
                (min_shortage + pause, Role::Prefill),
            ],
        ),
        (
            "decode is short",
            |_| Some((role_load(0.2, 3), role_load(0.9, 6))),
            vec![
                (min_shortage, Role::Decode),
                (min_shortage + pause, Role::Decode),
            ],
        ),
        (
            "at the ratio",
            |_| Some((role_load(0.75, 3), role_load(0.5, 6))),
            vec![],
        ),
        (
            "interrupted every 20 s",
            |s| {
                Some((
                    role_load(if s % 20 == 0 { 0.5 } else { 0.9 }, 3),
                    role_load(0.5, 6),
                ))
            },
            vec![],
        ),
        (
            "reports are missing",
            |s| (s % 20 < 12).then_some((role_load(0.9, 3), role_load(0.5, 6))),
            vec![],
        ),
        (
            "last engine of a role",
            |_| Some((role_load(0.9, 3), role_load(0.2, 1))),
            vec![],
        ),
        (
            "nearly idle",
            |_| Some((role_load(0.1, 3), role_load(0.01, 6))),
            vec![],
        ),
    ];
    for (name, load, expected) in cases {
        assert_eq!(changes(100, load), expected, "{name}");
    }
}
