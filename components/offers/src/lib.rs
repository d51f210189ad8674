//! Late binding: waiting requests are offered, and agents claim them.
