//! Measures the time without a leader after a fault of the leader.

use std::fmt;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::group::ReplicaGroup;

/// Fault injected at the leader.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The leader's threads end without notifying the other replicas.
    Stopped,
    /// Messages are lost in both directions, without an error.
    MessagesLost,
    /// Messages to the leader are lost; those from it arrive.
    IncomingLost,
    /// Messages from the leader are lost; those to it arrive.
    OutgoingLost,
}

impl Fault {
    pub const ALL: [Self; 4] = [
        Self::Stopped,
        Self::MessagesLost,
        Self::IncomingLost,
        Self::OutgoingLost,
    ];
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stopped => "stopped",
            Self::MessagesLost => "cut off silently both ways",
            Self::IncomingLost => "cut off silently, incoming only",
            Self::OutgoingLost => "cut off silently, outgoing only",
        })
    }
}

/// Times from the fault to the next commit.
#[derive(Debug)]
pub struct Outage {
    pub median_s: f64,
    pub worst_s: f64,
}

/// Injects a fault `rounds` times, each time into a new group of 3 replicas.
pub fn measure_outage(fault: Fault, rounds: u64) -> Outage {
    let mut times: Vec<f64> = (0..rounds)
        .map(|round| time_without_leader_s(fault, round))
        .collect();
    times.sort_by(f64::total_cmp);
    let at = |index: usize| times.get(index).copied().unwrap_or(f64::INFINITY);
    Outage {
        median_s: at(times.len() / 2),
        worst_s: at(times.len() - 1),
    }
}

/// Returns the seconds from the fault to the next commit at a new leader.
fn time_without_leader_s(fault: Fault, round: u64) -> f64 {
    let group = ReplicaGroup::start(3, Duration::ZERO);
    let leader = group.wait_for_leader();
    // Varies the phase of the heartbeat at which the fault occurs.
    std::thread::sleep(Duration::from_millis(300 + round * 37 % 100));
    let faults = group.network.faults(leader);
    let began = Instant::now();
    match fault {
        Fault::Stopped => group.stop(leader),
        Fault::MessagesLost | Fault::IncomingLost | Fault::OutgoingLost => {
            let drop_outgoing = !matches!(fault, Fault::IncomingLost);
            let drop_incoming = !matches!(fault, Fault::OutgoingLost);
            faults.drop_outgoing.store(drop_outgoing, Ordering::Relaxed);
            faults.drop_incoming.store(drop_incoming, Ordering::Relaxed);
        }
    }
    let mut ticket = 0;
    loop {
        if let Some(next) = group.leader().filter(|&id| id != leader) {
            ticket += 1;
            group.propose(next, ticket);
        }
        let result = group.results.recv_timeout(Duration::from_millis(2));
        if matches!(result, Ok((_, Ok(_)))) {
            return began.elapsed().as_secs_f64();
        }
    }
}
