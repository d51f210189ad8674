//! Updates of the configuration for nodes that renew their leases.

use std::sync::{Arc, Mutex};

use units::ConfigVersion;

use super::RegistryState;
use crate::compression::compress;
use crate::config::ConfigUpdate;

/// Complete configuration of one version, encoded once for all nodes.
#[derive(Debug, Default)]
pub(super) struct UpdateCache(Mutex<Option<(ConfigVersion, Arc<[u8]>)>>);

impl Clone for UpdateCache {
    fn clone(&self) -> Self {
        Self::default()
    }
}

/// All caches are equal, since their content follows from the other state.
impl PartialEq for UpdateCache {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for UpdateCache {}

impl RegistryState {
    /// Encoded and compressed update from a version to the newest one, for
    /// [`FleetConfig::install`](crate::FleetConfig::install). Empty if the version is the newest.
    pub fn changes_since(&self, version: ConfigVersion) -> Vec<u8> {
        if version >= self.config.version {
            return Vec::new();
        }
        match self.history.since(version) {
            Some(changes) => encode(&ConfigUpdate::Incremental {
                from: version,
                to: self.config.version,
                changes,
                returns: self.config.returns.clone(),
            }),
            None => self.complete_update().to_vec(),
        }
    }

    fn complete_update(&self) -> Arc<[u8]> {
        let cache = self.full_update.0.lock();
        let mut cache = cache.expect("no thread panics while it holds the lock on the cache");
        match &*cache {
            Some((version, update)) if *version == self.config.version => update.clone(),
            _ => {
                let update: Arc<[u8]> = encode(&ConfigUpdate::Full {
                    config: Box::new(self.config.clone()),
                    rollouts: self.config.rollouts.clone(),
                    returns: self.config.returns.clone(),
                })
                .into();
                *cache = Some((self.config.version, update.clone()));
                update
            }
        }
    }
}

fn encode(update: &ConfigUpdate) -> Vec<u8> {
    compress(&postcard::to_stdvec(update).expect("an update encodes into memory"))
}
