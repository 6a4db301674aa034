//! Retry budgets, backoff and ejection of backend servers.
