//! Membership of the entry hosts: probes, suspicion and rumours.
