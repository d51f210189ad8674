//! Open-loop load with a seed, and what callers saw of it.
