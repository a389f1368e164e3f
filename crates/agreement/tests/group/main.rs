//! Groups of replicas in a simulation with virtual time.

mod disk;
mod oracle;
mod random;
mod scenarios;
mod sim;
