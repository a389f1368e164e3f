//! The actors of the main loop.
//!
//! Each piece of state has one owner here. Edge threads reach an actor through
//! the mailbox; actors reach each other through `stakker` calls. None of them
//! blocks.

mod control;
mod control_mail;
mod counters;
mod forming;
mod incoming;
mod inspect;
mod links;
mod looks;
mod members;
mod orders;
mod placing;
mod requests;
mod router;
mod router_mail;
mod shares;
mod targets;

pub use control::{Control, ControlStart};
pub use control_mail::ControlMessage;
pub use counters::Counters;
pub use forming::FormationStart;
pub use inspect::{GroupView, Inspect};
pub use members::{EngineRecord, KnownNames, Members, MembersMessage, MembersStart, TargetAnswer};
pub use orders::{OrdersMessage, OrdersThread};
pub use router::Router;
pub use router_mail::RouterMessage;
pub use targets::{Target, Targets};
