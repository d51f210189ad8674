//! Agent daemon: the only path to one target.
