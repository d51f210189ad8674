//! Division of a process's memory.

use units::ByteSize;

/// Memory of a process whose settings state none.
pub const DEFAULT_MEMORY: ByteSize = ByteSize(256_000_000);

/// Memory that a process needs without bodies and connections. An entry of the users' platform takes
/// 20 MB after the start (debug build); plan, directory and allocator grow with the deployment.
const BASE_BYTES: u64 = 32_000_000;

/// Least budget for bodies. The largest body that any process accepts has 8 MiB.
const MIN_BODY_BYTES: u64 = 12 << 20;

/// Memory of an idle connection. 3,800 of them took 84 MB.
const CONNECTION_BYTES: u64 = 22_000;

/// Least number of connections, which a process with little memory needs to serve at all.
const MIN_CONNECTIONS: u64 = 256;

/// Descriptors for files, links, timers and the metrics of a process.
const OTHER_DESCRIPTORS: u64 = 200;

/// Memory and descriptors of a process as stated in its settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Memory of the process.
    pub memory: ByteSize,
    /// Number of open descriptors; `None` if it is not known.
    pub descriptors: Option<u64>,
}

impl Default for MemoryLimits {
    fn default() -> Self {
        Self {
            memory: DEFAULT_MEMORY,
            descriptors: None,
        }
    }
}

impl MemoryLimits {
    /// Memory for bodies: half of what the process does not need otherwise. The other half is for
    /// connections, responses, and bytes that have arrived but have not been read.
    pub fn body_bytes(&self) -> u64 {
        (self.memory.0.saturating_sub(BASE_BYTES) / 2).max(MIN_BODY_BYTES)
    }

    /// Part of [`Self::body_bytes`] for bodies of up to [`crate::SMALL_BODY_BYTES`].
    pub fn small_bytes(&self) -> u64 {
        self.body_bytes() / 4
    }

    /// Part of [`Self::body_bytes`] for larger bodies.
    pub fn large_bytes(&self) -> u64 {
        self.body_bytes() - self.small_bytes()
    }

    /// Maximum number of connections from callers. Half of the descriptors is for connections to
    /// targets.
    pub fn max_connections(&self) -> u64 {
        let by_memory = self.memory.0.saturating_sub(BASE_BYTES) / 2 / CONNECTION_BYTES;
        let by_descriptors = self.descriptors.map_or(u64::MAX, |count| {
            count.saturating_sub(OTHER_DESCRIPTORS) / 2
        });
        by_memory.max(MIN_CONNECTIONS).min(by_descriptors).max(1)
    }
}
