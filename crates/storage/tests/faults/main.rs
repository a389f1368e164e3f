//! Tests of the data folder with injected disk faults.

mod crash;
mod damage;
mod memory;
