//! Rendezvous hashing.

use bv_types::Fingerprint;

use crate::Member;

/// Ranks members for a key, the owner first. Hosts with the same members get the same ranking.
///
/// The rank depends on host ids only, so a host keeps its rank after a restart.
///
/// ```
/// use bv_member::{Member, rendezvous};
/// use bv_types::Incarnation;
/// let member = |id: &str| Member {
///     host: id.parse().unwrap(),
///     incarnation: Incarnation(1),
///     addr: ([127, 0, 0, 1], 1).into(),
/// };
/// let members = [member("a"), member("b"), member("c")];
/// let ranked = rendezvous(b"shard-1", &members);
/// assert_eq!(ranked.len(), 3);
/// ```
pub fn rendezvous<'a>(key: &[u8], members: &'a [Member]) -> Vec<&'a Member> {
    let mut ranked: Vec<(Fingerprint, &Member)> = members
        .iter()
        .map(|member| (weight(key, member), member))
        .collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, member)| member).collect()
}

fn weight(key: &[u8], member: &Member) -> Fingerprint {
    Fingerprint::digest([key, member.host.as_str().as_bytes()])
}
