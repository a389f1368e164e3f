//! Router and control roles of a deployment.
//!
//! A control instance keeps the configuration and hears the targets; a router
//! follows control instances and serves callers. Each process runs one thread
//! with an event loop, plus threads for blocking writes: the log output and, on
//! a control instance, the disk.
//!
//! [`router`] shows the way of a request; [`control`] the way of a change and of
//! a target's report; [`link`] how the processes talk.

mod calls;
pub mod clock;
pub mod control;
mod exposition;
pub mod link;
mod loads;
pub mod log;
mod process;
pub mod router;
pub mod settings_file;
pub mod signals;

pub use loads::{Loads, RequestCounts};
