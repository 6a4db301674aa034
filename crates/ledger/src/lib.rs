//! Request ledger that runs non-idempotent calls at most once.
