//! Leases with fencing numbers and the orders sent to engines.
