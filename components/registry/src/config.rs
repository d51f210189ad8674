//! Configuration that entries and agents install, and its updates.

use std::collections::{BTreeMap, BTreeSet};

use manifest::{FleetManifest, ManifestChange};
use rollout::{RolloutRecord, RolloutTable};
use routes::PublishedPlan;
use thiserror::Error;
use units::{ConfigVersion, DataCentreName, ServiceName, TargetName};

use crate::compression::{CompressionError, decompress};

/// Maximum size of a decompressed update, in bytes. The services text alone may have 16 MiB.
const MAX_UPDATE_BYTES: usize = 64 << 20;

/// Version at which each data centre was last brought back; those that are out are left out.
///
/// While a data centre was out, its targets may have become cold without any load that would show it.
/// An announcement that control accepted at an earlier version does not tell.
pub type ReturnVersions = BTreeMap<DataCentreName, ConfigVersion>;

units::data! {
    /// Configuration of the fleet at one version.
    #[derive(Default)]
    pub struct FleetConfig {
        /// Version of the configuration; it never decreases.
        pub version: ConfigVersion,
        /// Content of the services text in force.
        pub manifest: FleetManifest,
        /// Data centres that are out: their targets get no new requests.
        pub out_data_centres: BTreeSet<DataCentreName>,
        /// Targets that are out: they get no new requests.
        pub out_targets: BTreeSet<TargetName>,
        /// Published plan with the highest number.
        pub published: Option<PublishedPlan>,
        /// Newest roll-out of each service. Encoded apart from the other fields, so that older
        /// snapshots can be restored.
        #[serde(skip)]
        pub rollouts: RolloutTable,
        /// Versions at which data centres were last brought back. Encoded apart from the other fields,
        /// too.
        #[serde(skip)]
        pub returns: ReturnVersions,
    }

    /// One change of the configuration.
    pub enum ConfigChange {
        /// Changes the content of the services text.
        Manifest(ManifestChange),
        /// Takes a data centre out or brings it back.
        DataCentre {
            /// Affected data centre.
            data_centre: DataCentreName,
            /// Whether the data centre is taken out.
            out: bool,
        },
        /// Takes a target out or brings it back.
        Target {
            /// Affected target.
            target: TargetName,
            /// Whether the target is taken out.
            out: bool,
        },
        /// Puts a published plan in force.
        Publish(Box<PublishedPlan>),
        /// Replaces the record of a service's newest roll-out.
        Rollout(Box<RolloutRecord>),
        /// Removes the record of a service that no plan contains any more.
        RemoveRollout(ServiceName),
    }

    /// Update of a node's configuration to a newer version.
    pub enum ConfigUpdate {
        /// Complete configuration.
        Full {
            /// Configuration without its roll-outs.
            config: Box<FleetConfig>,
            /// Roll-outs of the configuration.
            rollouts: RolloutTable,
            /// Versions at which data centres were brought back.
            returns: ReturnVersions,
        },
        /// Changes between two versions.
        Incremental {
            /// Version to which the changes apply.
            from: ConfigVersion,
            /// Version after the changes.
            to: ConfigVersion,
            /// Changes in the order of their application.
            changes: Vec<ConfigChange>,
            /// Versions at which data centres were brought back, all of them.
            returns: ReturnVersions,
        },
    }
}

/// Reason why a configuration update could not be installed.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The update cannot be decoded.
    #[error("Failed to decode a configuration update of {size} bytes")]
    Malformed {
        /// Size of the update in bytes.
        size: usize,
        /// Error of the decoder.
        source: postcard::Error,
    },
    /// The update cannot be decompressed.
    #[error("Failed to decompress a configuration update of {size} bytes")]
    Compressed {
        /// Size of the update in bytes.
        size: usize,
        /// Error of the decompression.
        source: CompressionError,
    },
    /// Bytes follow the end of the update.
    #[error("Failed to decode a configuration update: {extra} trailing bytes")]
    Trailing {
        /// Number of bytes after the end.
        extra: usize,
    },
    /// The changes apply to another version than the installed one.
    #[error("Failed to update configuration version {from}: version {installed} is installed")]
    Gap {
        /// Version to which the changes apply.
        from: ConfigVersion,
        /// Installed version.
        installed: ConfigVersion,
    },
}

impl FleetConfig {
    /// Installs the encoded update from the reply to a lease renewal.
    ///
    /// An empty update and an update to an older version have no effect, so late and repeated
    /// replies are harmless. After an error the configuration is unchanged.
    pub fn install(&mut self, changes: &[u8]) -> Result<(), ConfigError> {
        if changes.is_empty() {
            return Ok(());
        }
        let size = changes.len();
        let changes = decompress(changes, MAX_UPDATE_BYTES)
            .map_err(|source| ConfigError::Compressed { size, source })?;
        let (update, rest) = postcard::take_from_bytes(&changes)
            .map_err(|source| ConfigError::Malformed { size, source })?;
        if !rest.is_empty() {
            return Err(ConfigError::Trailing { extra: rest.len() });
        }
        self.update(update)
    }

    fn update(&mut self, update: ConfigUpdate) -> Result<(), ConfigError> {
        match update {
            ConfigUpdate::Full {
                config,
                rollouts,
                returns,
            } => {
                if config.version > self.version {
                    *self = *config;
                    self.rollouts = rollouts;
                    self.returns = returns;
                }
            }
            ConfigUpdate::Incremental { to, .. } if to <= self.version => {}
            ConfigUpdate::Incremental {
                from,
                to,
                changes,
                returns,
            } => {
                if from != self.version {
                    let installed = self.version;
                    return Err(ConfigError::Gap { from, installed });
                }
                changes.iter().for_each(|change| self.apply(change));
                self.version = to;
                self.returns = returns;
            }
        }
        Ok(())
    }

    /// Applies a change without changing the version.
    pub(crate) fn apply(&mut self, change: &ConfigChange) {
        match change {
            ConfigChange::Manifest(change) => self.manifest.apply(change),
            ConfigChange::DataCentre { data_centre, out } => {
                set_membership(&mut self.out_data_centres, data_centre, *out);
            }
            ConfigChange::Target { target, out } => {
                set_membership(&mut self.out_targets, target, *out);
            }
            ConfigChange::Publish(published) => self.published = Some(published.as_ref().clone()),
            ConfigChange::Rollout(record) => self.rollouts.install(record.as_ref().clone()),
            ConfigChange::RemoveRollout(service) => self.rollouts.remove(service),
        }
    }

    /// Records the data centres that a change takes out or brings back at the current version.
    pub(crate) fn record_return(&mut self, change: &ConfigChange) {
        match change {
            ConfigChange::DataCentre {
                data_centre,
                out: true,
            } => {
                self.returns.remove(data_centre);
            }
            ConfigChange::DataCentre {
                data_centre,
                out: false,
            } => {
                self.returns.insert(data_centre.clone(), self.version);
            }
            _ => {}
        }
    }

    /// Whether a target gets no new requests, because it or its data centre is out.
    pub fn is_out(&self, data_centre: &DataCentreName, target: &TargetName) -> bool {
        self.out_data_centres.contains(data_centre) || self.out_targets.contains(target)
    }
}

fn set_membership<T: Ord + Clone>(set: &mut BTreeSet<T>, member: &T, present: bool) {
    if present {
        set.insert(member.clone());
    } else {
        set.remove(member);
    }
}
