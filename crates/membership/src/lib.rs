//! Membership of targets and instances by gossip within a byte budget.
//!
//! A SWIM-style state machine without I/O: the host owns one `Membership`, passes
//! in packets, ticks and the announcements of targets, and carries out the outputs.
//! Read methods (`ready_targets`, `target`, `routers`) never change the state.

mod budget;
mod departure;
mod detect;
mod entry;
mod event;
mod gossip;
mod member;
mod message;
mod packet;
mod quantity;
mod queue;
mod record;
mod remote;
mod repair;
mod settings;
mod target;
mod view;
mod watch;

pub use bamboospur_types::Rng;
pub use budget::{Counters, Traffic};
pub use event::{MembershipChange, MembershipInput, MembershipOutput};
pub use member::Membership;
pub use message::{
    Contact, DataCentreAggregate, Gossip, HeartbeatEntry, LoadEntry, MAX_BODY_BYTES,
    MAX_PACKET_BYTES, Message, MessageKind, PACKET_OVERHEAD_BYTES, PoolAggregate, RecordEntry,
    StateEntry,
};
pub use quantity::{dequantise, quantise};
pub use record::{InstanceRecord, Load, MemberKey, MemberRecord, MemberState, Sequence, Version};
pub use settings::{MembershipSettings, Seed};
pub use view::{DataCentreView, TargetView};
