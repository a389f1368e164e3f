//! Inputs and outputs of the membership state machine.

use std::net::SocketAddr;

use bamboospur_types::{Incarnation, InstanceId, PoolId, TargetId, TargetRecord, TargetState};

use crate::message::Message;
use crate::record::{Load, Sequence};

/// Input that the host passes to `Membership::handle`.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipInput {
    /// A packet was received; the host has verified its keyed hash.
    Packet {
        /// Sender.
        from: InstanceId,
        /// Address that the packet came from.
        address: SocketAddr,
        /// Decoded message.
        message: Message,
    },
    /// The tick period has elapsed.
    Tick,
    /// A target announced itself.
    Announce(TargetRecord),
    /// A target sent a heartbeat.
    Heartbeat {
        /// Target.
        target: TargetId,
        /// Incarnation of the target.
        incarnation: Incarnation,
        /// Sequence number of the heartbeat within the incarnation.
        sequence: Sequence,
        /// State that the target reports.
        state: TargetState,
        /// Load that the target reports.
        load: Load,
    },
    /// A target announced that it leaves.
    Leave {
        /// Target.
        target: TargetId,
        /// Incarnation of the target.
        incarnation: Incarnation,
    },
    /// A probe requested by `MembershipOutput::Probe` has succeeded or failed.
    ProbeFinished {
        /// Target.
        target: TargetId,
        /// Incarnation from `MembershipOutput::Probe`.
        incarnation: Incarnation,
        /// Whether the target answered.
        alive: bool,
    },
    /// The request path could not connect to a target.
    ConnectFailed {
        /// Target.
        target: TargetId,
    },
    /// This instance shuts down and leaves the membership.
    Shutdown,
}

/// Change that the host may have to react to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A target appeared, changed its state or incarnation, or ended its damping
    /// period.
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
    /// The set of live routers of the own data centre changed.
    Routers,
    /// The aggregate of another data centre changed.
    DataCentre {
        /// `stable_id` of the data centre's name.
        data_centre: u64,
    },
    /// This instance took a higher incarnation, because another instance held a
    /// newer version of its record, usually as dead. The host should store the new
    /// incarnation.
    IncarnationRaised {
        /// New incarnation of this instance.
        incarnation: Incarnation,
    },
}

/// Action that the host must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipOutput {
    /// Send a packet.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Message to encode.
        message: Message,
        /// Budgeted size of the packet, including headers.
        bytes: usize,
    },
    /// Probe a target and pass the result in as `MembershipInput::ProbeFinished`.
    Probe {
        /// Target.
        target: TargetId,
        /// Incarnation to repeat in `MembershipInput::ProbeFinished`.
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
        /// Lowest incarnation that would be accepted.
        least_incarnation: Incarnation,
    },
    /// Answer to `MembershipInput::Heartbeat`. A target that is not known must
    /// announce itself again, with a higher incarnation if it has one.
    HeartbeatReply {
        /// Target.
        target: TargetId,
        /// Whether the target is known under this incarnation.
        known: bool,
    },
    /// Answer to `MembershipInput::Leave`, and to a `MembershipInput::Heartbeat` of a known target
    /// that drains, after its `HeartbeatReply`. It can follow a later input.
    DepartureReply {
        /// Target.
        target: TargetId,
        /// Whether enough other instances know the departure. Otherwise the target has to call
        /// again, here or at another instance.
        is_copied: bool,
    },
    /// Part of the membership changed.
    Changed(MembershipChange),
}
