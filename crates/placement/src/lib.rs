//! Choice of a target for each chat within the load bound.
//!
//! A router runs one [`Placer`] per pool. Each target has one owner, the router
//! that counts the load all routers put on the target. The crate does no I/O and
//! reads no clock: the host passes in targets, routers, requests, messages and the
//! current time, sends the messages that the placer returns, and calls
//! [`Placer::tick`] every [`PlacementSettings::tick_interval`].
//!
//! `place` answers at once with `Send`, `ReservationRequest` or `Refuse`. After
//! `ReservationRequest` the host sends the message to the owner and keeps the
//! request waiting; a later `handle` or `tick` returns `Placed` or `Refused` for
//! the same ticket. The host calls `finish` once for every ticket that led to
//! `Send` or `Placed`.

mod answers;
mod chat_locations;
mod counts;
mod decision;
mod declare;
mod held;
mod load;
mod mean;
mod message;
mod peers;
mod placer;
mod rank;
mod report;
mod request;
mod reservation;
mod route;
mod settings;
mod targets;
mod view;

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
