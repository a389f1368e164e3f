//! Records of members and their order.

use std::net::SocketAddr;
use std::sync::Arc;

use bamboospur_types::{Incarnation, InstanceId, TargetId, TargetRecord, WorkTokens, stable_id};
use serde::{Deserialize, Serialize};

/// Number of a record within one incarnation.
pub type Sequence = u32;

/// Key of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberKey {
    /// An instance; ordered first, because a new instance needs peers first.
    Instance(InstanceId),
    /// A target.
    Target(TargetId),
}

/// What an instance announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name from the settings.
    pub name: String,
    /// Start number of the process.
    pub incarnation: Incarnation,
    /// UDP address of the instance.
    pub address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: String,
}

impl InstanceRecord {
    /// Returns the id of the instance's name.
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
    /// Does not answer; takes no new work.
    Suspect = 1,
    /// Finishes its work and takes no more.
    Draining = 2,
    /// Declared dead.
    Dead = 3,
    /// Has left.
    Left = 4,
}

impl MemberState {
    /// Returns whether this incarnation can never be ready again.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Dead | Self::Left)
    }

    /// Order of states within an incarnation: a sequence number decides only
    /// between equal ranks, so a leaving member is never ready again.
    const fn rank(self) -> u8 {
        match self {
            Self::Ready | Self::Suspect => 0,
            Self::Draining => 1,
            Self::Dead => 2,
            Self::Left => 3,
        }
    }
}

/// Version of a record; the newest wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Version {
    /// Start number of the member's process.
    pub incarnation: Incarnation,
    /// Number of the record within the incarnation.
    pub sequence: Sequence,
    /// State of the member.
    pub state: MemberState,
}

impl Version {
    /// Returns whether this version replaces the other.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        self.order() > other.order()
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

/// Fixed facts of one incarnation of a member.
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

    /// Returns the incarnation that these facts belong to.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Self::Target(target) => target.incarnation,
            Self::Instance(instance) => instance.incarnation,
        }
    }
}
