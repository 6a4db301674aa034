//! Invariants, checked against the table's log.

use bv_config::{Document, Outcome, STALE_AFTER};
use bv_types::{Millis, Version};

use super::world::{OutcomeCounts, World};

/// Checks a document that comes into force at a host.
pub fn check_put_in_force(world: &World, host: usize, document: &Document) {
    assert!(
        world.table.accepted(document.digest()).is_some(),
        "host {host} put version {} in force, which the store never accepted",
        document.version
    );
    let Some(last) = world.hosts[host].in_force.last() else {
        return;
    };
    assert!(
        document.version >= last.version,
        "host {host} went back from version {} to {}",
        last.version,
        document.version
    );
    assert!(
        document.version > last.version || world.faults.store_restores,
        "host {host} replaced version {} by another one, though the store was never restored from an older copy",
        last.version
    );
}

/// Checks that the store has returned the document of each fresh host within `STALE_AFTER`.
pub fn check_freshness(world: &World) {
    let now = Millis(world.now_ms);
    for (index, host) in world.hosts.iter().enumerate() {
        let Some(versions) = host.versions.as_ref().filter(|v| !v.is_stale(now)) else {
            continue;
        };
        let digest = versions.current().map(Document::digest);
        let returned = world.table.last_returned.iter();
        let returned = returned.filter(|(known, _)| Some(*known) == digest);
        let last = returned
            .map(|(_, at)| Millis(*at))
            .max()
            .unwrap_or(Millis::ZERO);
        assert!(
            last + STALE_AFTER >= now,
            "host {index} counts version {} as fresh, which the store last returned {} ago",
            versions.version(),
            now - last
        );
    }
}

/// Checks the state after the faults have ended.
pub fn check_final_state(world: &World, counts: &mut OutcomeCounts) {
    let stored = world.table.row.as_ref();
    for host in 0..world.hosts.len() {
        assert_eq!(
            world.digest_of(host),
            stored.map(Document::digest),
            "host {host} has version {:?}, the store {:?}",
            world.hosts[host].versions.as_ref().map(|v| v.version()),
            stored.map(|row| row.version)
        );
    }
    let history = accepted_history(world);
    // Whether two accepted changes have the same version.
    let has_duplicate_versions = world.table.log.iter().any(|accepted| {
        let version = accepted.document.version;
        let same = |other: &&super::table::Accepted| other.document.version == version;
        world.table.log.iter().filter(same).count() > 1
    });
    assert!(
        !has_duplicate_versions || world.faults.store_restores,
        "two changes have the same version"
    );
    for change in &world.changes {
        let logged = world
            .table
            .log
            .iter()
            .find(|accepted| accepted.document.change == change.id);
        let crossed_restore = logged.is_some_and(|accepted| accepted.crossed_restore);
        let logged = logged.map(|accepted| accepted.document.version);
        match change.outcome {
            Some(Outcome::Accepted(version)) => {
                counts.accepted += 1;
                assert_eq!(logged, Some(version), "{} was not accepted", change.id);
                check_kept(world, &history, &change.id, version, has_duplicate_versions);
            }
            Some(Outcome::Conflict(_)) => {
                counts.conflicts += 1;
                // After a restore from an older copy, another change can take the version of an
                // accepted one; then the accepted change has lost, and its operator gets a
                // conflict.
                let replaced =
                    has_duplicate_versions && !history.iter().any(|(kept, _)| *kept == change.id);
                // A write in transit during a restore can take effect after its operator got a
                // conflict with a change that the restore has removed.
                assert!(
                    logged.is_none() || replaced || crossed_restore,
                    "{} was accepted, but its operator got a conflict; log: {}",
                    change.id,
                    log_text(world)
                );
            }
            Some(Outcome::Unknown) => counts.unknown += 1,
            Some(Outcome::NotWritten(_)) | None => {}
        }
    }
    counts.duplicate_versions += u64::from(has_duplicate_versions);
    counts.repaired += u64::from(world.repairs > 0);
}

/// Change ids and versions of the final document and its predecessors, the latest first.
fn accepted_history(world: &World) -> Vec<(String, Version)> {
    let mut history = Vec::new();
    let mut digest = world.table.row.as_ref().map(Document::digest);
    while let Some(accepted) = digest.and_then(|digest| world.table.accepted(digest)) {
        let document = &accepted.document;
        history.push((document.change.to_string(), document.version));
        digest = accepted.base;
    }
    history
}

fn log_text(world: &World) -> String {
    let entries = world.table.log.iter().map(|accepted| {
        let document = &accepted.document;
        format!("{}={}", document.version, document.change)
    });
    entries.collect::<Vec<_>>().join(" ")
}

/// Checks that an accepted change is part of the final document's history, unless the store was
/// restored from an older copy. Then it must still be there if a host that had it in force has not
/// restarted since and no two changes were accepted with the same version.
fn check_kept(
    world: &World,
    history: &[(String, Version)],
    change: &str,
    version: Version,
    has_duplicate_versions: bool,
) {
    if history.iter().any(|(kept, _)| kept == change) {
        return;
    }
    assert!(
        world.faults.store_restores,
        "{change} was accepted and is lost"
    );
    let holder = world.hosts.iter().find(|host| {
        host.in_force
            .iter()
            .any(|document| document.version_of(change).is_some())
    });
    if let Some(host) = holder {
        assert!(
            has_duplicate_versions,
            "{change} was accepted as version {version} and is lost, though {} has it in force; \
             log: {}",
            host.id,
            log_text(world)
        );
    }
}
