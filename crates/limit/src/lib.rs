//! Rate limits and fair shares of teams over all entry hosts.
