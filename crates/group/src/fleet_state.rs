//! Facts about the fleet on which the group agrees besides the document.
//!
//! They are few and small, and change seldom: which data centres are evacuated, and which
//! software versions targets have had lately. A process that has lost its soft state knows
//! them again as soon as the group has a leader.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::document::DocumentVersion;

/// Name of a data centre.
pub type DataCentre = String;

/// Number of changes of the state so far.
pub type FleetRevision = u64;

/// Software version of some targets of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceSoftware {
    /// Name of the service.
    pub service: String,
    /// Version of the targets' software.
    pub software: String,
}

/// Newest order of operators for a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Evacuation {
    evacuated: bool,
    /// Revision of the fleet that the order led to.
    revision: FleetRevision,
}

/// Change of the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetChange {
    /// The deployment is new: all software versions will have been added. Without effect once
    /// there is a document.
    Found,
    /// An operator evacuates a data centre or takes that back.
    Evacuate {
        /// Data centre.
        data_centre: DataCentre,
        /// Whether its targets are to get no requests.
        evacuated: bool,
        /// [`FleetState::evacuation_revision`] when the order arrived. An order that was
        /// delayed while another one took effect changes nothing.
        base: FleetRevision,
    },
    /// Targets with this software have appeared.
    AddSoftware(BTreeSet<ServiceSoftware>),
    /// No stream that targets with this software began goes on any more.
    RemoveSoftware(BTreeSet<ServiceSoftware>),
}

/// Facts about the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    revision: FleetRevision,
    evacuations: BTreeMap<DataCentre, Evacuation>,
    software: BTreeSet<ServiceSoftware>,
    has_all_software: bool,
}

impl FleetState {
    /// Returns the number of changes so far.
    #[must_use]
    pub const fn revision(&self) -> FleetRevision {
        self.revision
    }

    /// Returns the data centres whose targets are to get no requests.
    pub fn evacuated(&self) -> impl Iterator<Item = &DataCentre> {
        let evacuated = self.evacuations.iter().filter(|(_, e)| e.evacuated);
        evacuated.map(|(data_centre, _)| data_centre)
    }

    /// Whether the targets of a data centre are to get no requests.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        let newest = self.evacuations.get(data_centre);
        newest.is_some_and(|evacuation| evacuation.evacuated)
    }

    /// Returns the revision that the newest order for a data centre led to; 0 without one.
    #[must_use]
    pub fn evacuation_revision(&self, data_centre: &str) -> FleetRevision {
        let newest = self.evacuations.get(data_centre);
        newest.map_or(0, |evacuation| evacuation.revision)
    }

    /// Returns the software versions that targets have had lately.
    #[must_use]
    pub const fn software(&self) -> &BTreeSet<ServiceSoftware> {
        &self.software
    }

    /// Whether every software version that targets have had lately was added. False in a group
    /// whose disks come from a release without this state.
    #[must_use]
    pub const fn has_all_software(&self) -> bool {
        self.has_all_software
    }

    /// Whether the state is what an order of an operator asks for.
    pub(crate) fn satisfies(&self, change: &FleetChange) -> bool {
        match change {
            FleetChange::Evacuate {
                data_centre,
                evacuated,
                ..
            } => self.is_evacuated(data_centre) == *evacuated,
            _ => true,
        }
    }

    /// Applies a change. `version` is that of the document at this point of the log.
    pub(crate) fn apply(&mut self, change: FleetChange, version: DocumentVersion) {
        let next_revision = self.revision + 1;
        let is_changed = match change {
            FleetChange::Found => {
                let founds = version == 0 && !self.has_all_software;
                self.has_all_software |= founds;
                founds
            }
            FleetChange::Evacuate {
                data_centre,
                evacuated,
                base,
            } => {
                let is_due = self.is_evacuated(&data_centre) != evacuated
                    && self.evacuation_revision(&data_centre) == base;
                if is_due {
                    let newest = Evacuation {
                        evacuated,
                        revision: next_revision,
                    };
                    self.evacuations.insert(data_centre, newest);
                }
                is_due
            }
            FleetChange::AddSoftware(mut added) => {
                let count = self.software.len();
                self.software.append(&mut added);
                self.software.len() > count
            }
            FleetChange::RemoveSoftware(removed) => {
                let count = self.software.len();
                self.software.retain(|software| !removed.contains(software));
                self.software.len() < count
            }
        };
        if is_changed {
            self.revision = next_revision;
        }
    }
}
