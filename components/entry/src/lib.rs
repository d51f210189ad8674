//! Entry daemon: ends callers' HTTP and finds a target for each request.
