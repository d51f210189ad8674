//! Concurrency limit of a target, and retry budgets.
