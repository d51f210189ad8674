//! Control daemon: replicated state and node directory.
