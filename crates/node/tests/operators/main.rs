//! The operators' interface, with real nodes and the real `bamboospurctl`.

#[path = "../support/mod.rs"]
mod support;

#[allow(dead_code, reason = "these tests use a part of the fleet")]
#[path = "../fleet/fleet.rs"]
mod fleet;
#[allow(dead_code, reason = "these tests use a part of the fleet")]
#[path = "../fleet/process.rs"]
mod process;

mod access;
mod changes;
mod ctl;
mod drain;
mod engine;
mod examples;
mod in_force;
mod members;
mod metrics;
mod orders;
