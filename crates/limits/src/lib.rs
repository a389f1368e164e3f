//! Team shares held by demand-driven leases.
//!
//! Every router has one `LeaseHolder`, which admits requests, and one
//! `LeaseOwner`, which divides the shares of the teams that rendezvous hashing
//! gives to this router. `LimitsOutput::Send` with `to` equal to the own
//! instance is delivered to the local `handle` without a packet.
//!
//! Ask messages go to `LeaseOwner::handle`, grants to `LeaseHolder::handle`.
//! Call both `tick` methods every `LimitsSettings::tick`.

mod amount;
mod fair;
mod holder;
mod holding;
mod level;
mod message;
mod outbox;
mod owner;
mod rate;
mod settings;
mod team;

pub use amount::{Amount, TeamShare};
pub use bamboospur_types::Rng;
pub use fair::max_min;
pub use holder::{Admission, LeaseHolder, Ticket};
pub use message::{
    LeaseGrant, LeaseRequest, LimitsMessage, LimitsOutput, MAX_PACKET_BYTES, WORK_UNIT,
};
pub use outbox::LimitsCounters;
pub use owner::{LeaseOwner, owner_of};
pub use settings::LimitsSettings;
