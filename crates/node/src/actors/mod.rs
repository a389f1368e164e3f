//! The actors of the main loop.
//!
//! Each actor owns its state exclusively. Edge threads send messages to an actor
//! through the mailbox; actors call each other through `stakker`. No actor blocks.

mod claim_watches;
mod control;
mod control_messages;
mod counters;
mod crashes;
mod formation;
mod inspect;
mod links;
mod members;
mod orders;
mod placement_packets;
mod placing;
mod requests;
mod router;
mod router_messages;
mod shares;
mod target_limits;
mod targets;

pub use control::{Control, ControlStart};
pub use control_messages::ControlMessage;
pub use counters::Counters;
pub use formation::FormationStart;
pub use inspect::{GroupView, Inspect};
pub use members::{EngineRecord, KnownNames, Members, MembersMessage, MembersStart, TargetAnswer};
pub use orders::{OrdersMessage, OrdersThread};
pub use router::Router;
pub use router_messages::RouterMessage;
pub use targets::{Target, Targets};
