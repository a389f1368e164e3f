//! A control group and routers as real processes.

#[path = "../support/mod.rs"]
mod support;

mod crashing;
mod cut_off;
mod disk;
mod fleet;
mod formation;
mod group;
mod limited;
mod memory;
mod once;
mod process;
mod service;
mod targets;
mod traffic;
