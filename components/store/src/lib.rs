//! Log segments and snapshots on disk.
