//! Team shares, divided among routers by demand-driven leases.
//!
//! Every router has one `LeaseHolder`, which admits requests, and one
//! `LeaseOwner`, which divides the shares of the teams that rendezvous hashing
//! assigns to this router. The caller delivers a `LimitsOutput::Send` whose `to`
//! is the router itself to the local `handle`, without a packet.
//!
//! `LimitsMessage::Ask` goes to `LeaseOwner::handle`, `LimitsMessage::Grant` to
//! `LeaseHolder::handle`. The caller calls both `tick` methods every
//! `LimitsSettings::tick_interval`.

mod amount;
mod fair;
mod holder;
mod message;
mod outbox;
mod owner;
mod rate;
mod settings;
mod team_leases;
mod team_usage;
mod work_cap;

pub use amount::{Amount, TeamShare};
pub use bamboospur_types::Rng;
pub use fair::max_min;
pub use holder::{Admission, AdmissionTicket, LeaseHolder};
pub use message::{
    LeaseGrant, LeaseRequest, LimitsMessage, LimitsOutput, MAX_PACKET_BYTES, WORK_UNIT_TOKENS,
};
pub use outbox::LimitsCounters;
pub use owner::{LeaseOwner, owner_of};
pub use settings::LimitsSettings;
