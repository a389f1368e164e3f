//! Inputs and outputs of membership.

use std::net::SocketAddr;

use bamboospur_types::{Incarnation, InstanceId, PoolId, TargetId, TargetRecord, TargetState};

use crate::message::Message;
use crate::record::{Load, Sequence};

/// What the host passes in.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipInput {
    /// A packet with a valid keyed hash.
    Packet {
        /// Sender.
        from: InstanceId,
        /// Address that the packet came from.
        address: SocketAddr,
        /// Message.
        message: Message,
    },
    /// The time of the next tick has come.
    Tick,
    /// A target announced itself.
    Announce(TargetRecord),
    /// A target sent a heartbeat.
    Heartbeat {
        /// Target.
        target: TargetId,
        /// Incarnation of the target.
        incarnation: Incarnation,
        /// Number of the heartbeat within the incarnation.
        sequence: Sequence,
        /// Whether the target takes new work.
        state: TargetState,
        /// Load of the target.
        load: Load,
    },
    /// A target leaves.
    Leave {
        /// Target.
        target: TargetId,
        /// Incarnation of the target.
        incarnation: Incarnation,
    },
    /// A probe that `MembershipOutput::Probe` asked for has ended.
    ProbeFinished {
        /// Target.
        target: TargetId,
        /// Incarnation that was probed.
        incarnation: Incarnation,
        /// Whether the target answered.
        alive: bool,
    },
    /// The request path could not connect to a target.
    ConnectFailed {
        /// Target.
        target: TargetId,
    },
    /// This instance leaves.
    Shutdown,
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A target appeared, changed its state or its details.
    Target {
        /// Target.
        target: TargetId,
        /// Pool of the target.
        pool: PoolId,
    },
    /// The load of a target changed.
    Load {
        /// Target.
        target: TargetId,
    },
    /// The live routers of the data centre changed.
    Routers,
    /// The aggregate of another data centre changed.
    DataCentre {
        /// Stable id of the data centre's name.
        data_centre: u64,
    },
    /// Others had declared this instance dead; it took a higher incarnation,
    /// which the host should store.
    IncarnationRaised {
        /// New incarnation of this instance.
        incarnation: Incarnation,
    },
}

/// What the host must do.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipOutput {
    /// Send a packet.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Message.
        message: Message,
        /// Budgeted size of the packet.
        bytes: usize,
    },
    /// Probe a target and pass in `MembershipInput::ProbeFinished`.
    Probe {
        /// Target.
        target: TargetId,
        /// Incarnation to repeat in the answer.
        incarnation: Incarnation,
        /// Address of the target.
        address: SocketAddr,
    },
    /// Answer to `MembershipInput::Announce`.
    AnnounceReply {
        /// Target.
        target: TargetId,
        /// Whether the record was accepted.
        accepted: bool,
        /// Least incarnation that would be accepted.
        least_incarnation: Incarnation,
    },
    /// Answer to `MembershipInput::Heartbeat`; not known means that the target
    /// must announce itself again, with a higher incarnation if it has one.
    HeartbeatReply {
        /// Target.
        target: TargetId,
        /// Whether the target is known under this incarnation.
        known: bool,
    },
    /// Something changed that the request path may have to know.
    Changed(MembershipChange),
}
