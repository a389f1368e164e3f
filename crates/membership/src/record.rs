//! Records of members, and the order of their versions.

use std::net::SocketAddr;
use std::sync::Arc;

use bamboospur_types::{Incarnation, InstanceId, TargetId, TargetRecord, WorkTokens, stable_id};
use serde::{Deserialize, Serialize};

/// Sequence number of a heartbeat or record within one incarnation.
pub type Sequence = u32;

/// Key of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberKey {
    /// An instance. Instances sort before targets, because a new instance needs peers
    /// first.
    Instance(InstanceId),
    /// A target.
    Target(TargetId),
}

/// Record that an instance announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name from the settings.
    pub name: String,
    /// Start number of the process; raised further when the instance refutes its
    /// death.
    pub incarnation: Incarnation,
    /// UDP address of the instance.
    pub address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: String,
}

impl InstanceRecord {
    /// Returns the instance's id, which is derived from its name.
    #[must_use]
    pub fn id(&self) -> InstanceId {
        stable_id(&self.name)
    }
}

/// State of a member as other instances know it.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::FromRepr,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum MemberState {
    /// In service.
    Ready = 0,
    /// Suspected of having failed; a suspect target gets no new work.
    Suspect = 1,
    /// Finishes its work and takes no new work.
    Draining = 2,
    /// Declared dead by failure detection.
    Dead = 3,
    /// Left by its own announcement.
    Left = 4,
}

impl MemberState {
    /// Returns whether the state is final for the incarnation: the member can only
    /// return with a higher one.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Dead | Self::Left)
    }

    /// Returns the rank of the state within an incarnation. Sequence numbers decide
    /// only between equal ranks, so that a draining, dead or departed member never
    /// becomes ready again in the same incarnation.
    const fn rank(self) -> u8 {
        match self {
            Self::Ready | Self::Suspect => 0,
            Self::Draining => 1,
            Self::Dead => 2,
            Self::Left => 3,
        }
    }
}

/// Version of a member's record; a newer version replaces an older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Version {
    /// Incarnation of the member's process.
    pub incarnation: Incarnation,
    /// Sequence number of the record within the incarnation.
    pub sequence: Sequence,
    /// State of the member in this version.
    pub state: MemberState,
}

impl Version {
    /// Returns whether this version is newer than the other.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        self.order() > other.order()
    }

    /// Returns whether this version tells as well as the other that the member takes no new work
    /// in the other's incarnation.
    pub(crate) fn ends_work_of(&self, other: &Self) -> bool {
        (self.incarnation, self.state.rank()) >= (other.incarnation, other.state.rank())
    }

    fn order(&self) -> (Incarnation, u8, Sequence, bool) {
        let suspect = self.state == MemberState::Suspect;
        (self.incarnation, self.state.rank(), self.sequence, suspect)
    }
}

/// Load of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Work in progress and queued, in tokens.
    pub tokens: WorkTokens,
    /// Requests in progress and queued.
    pub requests: u32,
}

/// Details of a member that do not change within one incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberRecord {
    /// A target.
    Target(Arc<TargetRecord>),
    /// An instance.
    Instance(Arc<InstanceRecord>),
}

impl MemberRecord {
    /// Returns the key of the member.
    #[must_use]
    pub fn key(&self) -> MemberKey {
        match self {
            Self::Target(target) => MemberKey::Target(target.id()),
            Self::Instance(instance) => MemberKey::Instance(instance.id()),
        }
    }

    /// Returns the incarnation to which these details belong.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Self::Target(target) => target.incarnation,
            Self::Instance(instance) => instance.incarnation,
        }
    }
}
