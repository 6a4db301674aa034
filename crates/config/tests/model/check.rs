//! Invariants, checked against the table's log.

use bv_config::{Document, Outcome, STALE_AFTER};
use bv_types::{Millis, Version};

use super::world::{Tally, World};

/// Checks a document that comes into force at a host.
pub fn in_force(world: &World, host: usize, document: &Document) {
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
        document.version > last.version || world.faults.old_copies,
        "host {host} replaced version {} by another one, though the store was never restored from an older copy",
        last.version
    );
}

/// Checks that the store has returned the document of each fresh host within `STALE_AFTER`.
pub fn freshness(world: &World) {
    let now = Millis(world.now);
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
pub fn end(world: &World, tally: &mut Tally) {
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
    let chain = chain(world);
    let forked = world.table.log.iter().any(|accepted| {
        let version = accepted.document.version;
        let same = |other: &&super::table::Accepted| other.document.version == version;
        world.table.log.iter().filter(same).count() > 1
    });
    assert!(
        !forked || world.faults.old_copies,
        "two changes have the same version"
    );
    for change in &world.changes {
        let logged = world
            .table
            .log
            .iter()
            .find(|accepted| accepted.document.change == change.id);
        let crossed = logged.is_some_and(|accepted| accepted.crossed_restore);
        let logged = logged.map(|accepted| accepted.document.version);
        match change.outcome {
            Some(Outcome::Accepted(version)) => {
                tally.accepted += 1;
                assert_eq!(logged, Some(version), "{} was not accepted", change.id);
                check_kept(world, &chain, &change.id, version, forked);
            }
            Some(Outcome::Conflict(_)) => {
                tally.lost += 1;
                // After a restore from an older copy, another change can take the version of an
                // accepted one; then the accepted change has lost, and its operator gets a conflict.
                let replaced = forked && !chain.iter().any(|(kept, _)| *kept == change.id);
                // A write in transit during a restore can take effect after its operator got a
                // conflict with a change that the restore has removed.
                assert!(
                    logged.is_none() || replaced || crossed,
                    "{} was accepted, but its operator got a conflict; log: {}",
                    change.id,
                    history(world)
                );
            }
            Some(Outcome::Unknown) => tally.unknown += 1,
            Some(Outcome::NotWritten(_)) | None => {}
        }
    }
    tally.forked += u64::from(forked);
    tally.repaired += u64::from(world.notices > 0);
}

/// Change ids and versions of the final document and its predecessors, the latest first.
fn chain(world: &World) -> Vec<(String, Version)> {
    let mut chain = Vec::new();
    let mut digest = world.table.row.as_ref().map(Document::digest);
    while let Some(accepted) = digest.and_then(|digest| world.table.accepted(digest)) {
        let document = &accepted.document;
        chain.push((document.change.to_string(), document.version));
        digest = accepted.base;
    }
    chain
}

fn history(world: &World) -> String {
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
    chain: &[(String, Version)],
    change: &str,
    version: Version,
    forked: bool,
) {
    if chain.iter().any(|(kept, _)| kept == change) {
        return;
    }
    assert!(world.faults.old_copies, "{change} was accepted and is lost");
    let holder = world.hosts.iter().find(|host| {
        host.in_force
            .iter()
            .any(|document| document.version_of(change).is_some())
    });
    if let Some(host) = holder {
        assert!(
            forked,
            "{change} was accepted as version {version} and is lost, though {} has it in force; \
             log: {}",
            host.id,
            history(world)
        );
    }
}
