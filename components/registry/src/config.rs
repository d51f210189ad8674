//! Configuration that entries and agents install.

use std::collections::BTreeSet;

use manifest::{FleetManifest, ManifestChange};
use routes::PublishedPlan;
use thiserror::Error;
use units::{ConfigVersion, DataCentreName, TargetName};

units::data! {
    /// Configuration of the fleet at one version.
    #[derive(Default)]
    pub struct FleetConfig {
        /// Version; it only grows.
        pub version: ConfigVersion,
        /// Content of the services text.
        pub manifest: FleetManifest,
        /// Data centres that get no new work.
        pub out_data_centres: BTreeSet<DataCentreName>,
        /// Targets that get no new work.
        pub out_targets: BTreeSet<TargetName>,
        /// Published plan with the highest number.
        pub published: Option<PublishedPlan>,
    }

    /// One step of the configuration.
    pub enum ConfigChange {
        /// Changes the services text.
        Manifest(ManifestChange),
        /// Takes a data centre out, or back in.
        DataCentre {
            /// The data centre.
            data_centre: DataCentreName,
            /// Whether it is out.
            out: bool,
        },
        /// Takes a target out, or back in.
        Target {
            /// The target.
            target: TargetName,
            /// Whether it is out.
            out: bool,
        },
        /// Puts a published plan in force.
        Publish(Box<PublishedPlan>),
    }

    /// What leads a node to a newer configuration.
    pub enum ConfigUpdate {
        /// The whole configuration.
        Whole(Box<FleetConfig>),
        /// The steps between two versions.
        Steps {
            /// Version that the steps start from.
            from: ConfigVersion,
            /// Version that they lead to.
            to: ConfigVersion,
            /// The steps in order.
            steps: Vec<ConfigChange>,
        },
    }
}

/// Fault of a configuration update.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The update does not decode.
    #[error("Failed to decode a configuration update of {size} bytes")]
    Malformed {
        /// Size of the update in bytes.
        size: usize,
        /// Fault that the codec found.
        source: postcard::Error,
    },
    /// The update has bytes after its end.
    #[error("Failed to decode a configuration update: {extra} bytes left over")]
    Trailing {
        /// Bytes after the update.
        extra: usize,
    },
    /// The steps start from another version.
    #[error("Failed to install steps from version {from}: version {installed} is installed")]
    Gap {
        /// Version that the steps start from.
        from: ConfigVersion,
        /// Version that is installed.
        installed: ConfigVersion,
    },
}

impl FleetConfig {
    /// Installs the update of a renewal. An empty update and one that leads to an older version
    /// change nothing, so late and repeated replies are harmless; on failure nothing is changed.
    pub fn install(&mut self, changes: &[u8]) -> Result<(), ConfigError> {
        if changes.is_empty() {
            return Ok(());
        }
        let size = changes.len();
        let (update, rest) = postcard::take_from_bytes(changes)
            .map_err(|source| ConfigError::Malformed { size, source })?;
        if !rest.is_empty() {
            return Err(ConfigError::Trailing { extra: rest.len() });
        }
        self.update(update)
    }

    fn update(&mut self, update: ConfigUpdate) -> Result<(), ConfigError> {
        match update {
            ConfigUpdate::Whole(config) => {
                if config.version > self.version {
                    *self = *config;
                }
            }
            ConfigUpdate::Steps { to, .. } if to <= self.version => {}
            ConfigUpdate::Steps { from, to, steps } => {
                if from != self.version {
                    let installed = self.version;
                    return Err(ConfigError::Gap { from, installed });
                }
                steps.iter().for_each(|step| self.step(step));
                self.version = to;
            }
        }
        Ok(())
    }

    /// Makes one step without a change of the version.
    pub(crate) fn step(&mut self, change: &ConfigChange) {
        match change {
            ConfigChange::Manifest(change) => self.manifest.apply(change),
            ConfigChange::DataCentre { data_centre, out } => {
                set_member(&mut self.out_data_centres, data_centre, *out);
            }
            ConfigChange::Target { target, out } => {
                set_member(&mut self.out_targets, target, *out);
            }
            ConfigChange::Publish(published) => self.published = Some(published.as_ref().clone()),
        }
    }

    /// Whether a data centre or target that this names gets new work.
    pub fn is_out(&self, data_centre: &DataCentreName, target: &TargetName) -> bool {
        self.out_data_centres.contains(data_centre) || self.out_targets.contains(target)
    }
}

fn set_member<T: Ord + Clone>(set: &mut BTreeSet<T>, member: &T, present: bool) {
    if present {
        set.insert(member.clone());
    } else {
        set.remove(member);
    }
}
