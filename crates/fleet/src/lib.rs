//! Router and control roles of a deployment.
//!
//! Control instances replicate the configuration and collect the reports of targets.
//! Routers receive both from control instances and serve callers. Each process runs
//! one thread with an event loop, plus threads for blocking writes: the log output
//! and, on a control instance, the disk.
//!
//! [`router`] handles requests of callers; [`control`] handles configuration changes
//! and reports of targets; [`link`] connects the processes to each other.

mod calls;
pub mod clock;
mod config_history;
pub mod control;
mod exposition;
pub mod link;
mod loads;
pub mod log;
pub mod memory;
mod outbox;
pub mod process;
pub mod router;
pub mod settings_file;
pub mod signals;
pub mod stream_origins;

pub use config_history::ConfigHistory;
pub use loads::{Loads, RequestCounts};
pub use outbox::{Content, Outbox};
