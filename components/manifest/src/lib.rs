//! Services text: parsing, checks and differences.
