//! Content of the heartbeats on links.

use std::sync::atomic::{AtomicU64, Ordering};

use bamboospur_types::InstanceId;
use bamboospur_wire::link::Frame;

/// Revision in force and known leader (0 when none is known), set by the control
/// actor.
#[derive(Debug, Default)]
pub struct HeartbeatState {
    revision: AtomicU64,
    leader: AtomicU64,
}

impl HeartbeatState {
    /// Sets the revision and the leader, and returns whether the leader changed.
    pub fn set(&self, revision: u64, leader: Option<InstanceId>) -> bool {
        self.revision.store(revision, Ordering::Relaxed);
        let leader = leader.unwrap_or(0);
        self.leader.swap(leader, Ordering::Relaxed) != leader
    }

    pub fn frame(&self) -> Frame {
        let leader = self.leader.load(Ordering::Relaxed);
        Frame::Heartbeat {
            revision: self.revision.load(Ordering::Relaxed),
            leader: Some(leader).filter(|leader| *leader != 0),
        }
    }
}
