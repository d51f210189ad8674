//! Software versions at which streams began.
//!
//! What two versions of a target's software write does not fit together, so a stream that is
//! continued must go on at the version that began it. An entry records the origin of each stream
//! that may be continued in its [`OriginLog`], before it forwards the first event, and reports it
//! to control nodes, which keep it in an [`OriginTable`]. Records never change: a copy that is
//! found is true wherever it is found, and a stream without one is unknown.

mod log;
mod table;

pub use log::{OriginLog, report_interval};
pub use table::{MAX_STREAMS, OriginTable, stream_id};
