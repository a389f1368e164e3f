//! Choice of a target for each chat within the load bound.
//!
//! One [`Placer`] per pool. The host passes in targets, routers, requests and
//! messages together with the current time, sends the messages that come out,
//! and calls [`Placer::tick`] every [`PlacementSettings::tick_interval`].
//!
//! `place` answers at once with `Send`, `ReservationRequest` or `Refuse`. After `ReservationRequest` the host
//! sends the message to the owner and keeps the request waiting; a later
//! `handle` or `tick` returns `Placed` or `Refused` for the same ticket. Every
//! ticket that led to `Send` or `Placed` ends with one call of `finish`.

mod answers;
mod counts;
mod decision;
mod declare;
mod held;
mod load;
mod mean;
mod memory;
mod message;
mod peers;
mod placer;
mod rank;
mod report;
mod request;
mod route;
mod settings;
mod targets;
mod view;
mod walk;

pub use decision::{Decision, PlacementOutput, Refusal, Ticket};
pub use message::{
    CacheEventKind, Holding, PACKET_OVERHEAD_BYTES, PlacementMessage, ReservationRequest,
    ReservationStage,
};
pub use placer::Placer;
pub use rank::{hash_node_id, rendezvous_score};
pub use request::PlacementRequest;
pub use settings::{PlacementSettings, PolicyFeatures, ReservationMode};
pub use view::{DataCentreId, LoadReport, TargetView};
