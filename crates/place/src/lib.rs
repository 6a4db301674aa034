//! Placement, reservations and admission for one shard of runners.
