//! Drain of backend servers and graceful shutdown of entry hosts.
