//! Measures the cost of decisions and messages at growing sizes.
