//! Membership of the entry hosts: probes, suspicion and rumours.

mod member;

pub use member::Member;
