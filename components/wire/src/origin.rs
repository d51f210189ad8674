//! Messages about the software versions at which streams began.

use units::{ServiceName, SoftwareVersion};

units::number!(
    /// Id of a stream: a hash of the caller's organisation and the attempt that brought the first
    /// event.
    StreamId(u64)
);

units::data! {
    /// Service and software version whose target began a stream.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct StreamOrigin {
        /// Service of the target.
        pub service: ServiceName,
        /// Version of the target's software.
        pub version: SoftwareVersion,
    }

    /// Streams that began at the same origin.
    pub struct OriginBatch {
        /// Origin of the streams.
        pub origin: StreamOrigin,
        /// Ids of the streams, each with the time for which it may be continued, in milliseconds.
        pub streams: Vec<(StreamId, u32)>,
    }

    /// What a control node knows about the origin of a stream.
    pub enum OriginAnswer {
        /// The stream began at this origin.
        Known {
            /// Origin of the stream.
            origin: StreamOrigin,
            /// Time since the control node learned of it, in milliseconds.
            age_ms: u64,
        },
        /// Streams with this id began at several origins.
        Conflicting,
        /// No stream with this id is known.
        Unknown,
    }
}
