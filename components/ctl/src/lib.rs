//! Commands of the operator.
