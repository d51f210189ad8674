//! Requests to control nodes, and the lease of a node.
