//! Schedule of the targets and routers that leave and join.

use super::trace::{Random, Size};

/// A change of the fleet.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    /// The target finishes its work and takes no more.
    Drain(usize),
    /// The target loses its requests and its cache.
    Crash(usize),
    /// The target restarts with an empty cache; damped if it flaps.
    Join { target: usize, damped: bool },
    /// Membership ends the damping of a target.
    Readmit(usize),
    /// The router loses its state; its requests run on for at most 5 s.
    RouterCrash(usize),
    /// The router restarts.
    RouterJoin(usize),
}

/// Returns the changes of a run with their times in seconds: eight single targets
/// drain or crash, one target flaps, a tenth of the targets crash at once, and two
/// routers crash.
pub fn schedule(size: &Size, targets: usize, routers: usize, seed: u64) -> Vec<(f64, Change)> {
    let mut random = Random(seed);
    let start_s = size.warm_up_seconds as f64;
    let length_s = size.seconds as f64 - start_s;
    let mut changes = Vec::new();
    for step in 0..8 {
        let at_s = start_s + length_s * (f64::from(step) + 0.3) / 8.0;
        let target = random.below(targets);
        let departure = if step % 2 == 0 {
            Change::Drain(target)
        } else {
            Change::Crash(target)
        };
        changes.push((at_s, departure));
        changes.push((
            at_s + 45.0,
            Change::Join {
                target,
                damped: false,
            },
        ));
    }
    let flapping = random.below(targets);
    for flap in 0..4 {
        let at_s = start_s + length_s * 0.4 + 10.0 * f64::from(flap);
        let damped = flap >= 1;
        changes.push((at_s, Change::Crash(flapping)));
        changes.push((
            at_s + 5.0,
            Change::Join {
                target: flapping,
                damped,
            },
        ));
    }
    changes.push((start_s + length_s * 0.4 + 80.0, Change::Readmit(flapping)));
    let first_lost = random.below(targets);
    for index in 0..targets.div_ceil(10) {
        let target = (first_lost + index) % targets;
        changes.push((start_s + length_s * 0.55, Change::Crash(target)));
        changes.push((
            start_s + length_s * 0.55 + 60.0,
            Change::Join {
                target,
                damped: false,
            },
        ));
    }
    for fraction in [0.25, 0.85] {
        let router = random.below(routers);
        changes.push((start_s + length_s * fraction, Change::RouterCrash(router)));
        changes.push((
            start_s + length_s * fraction + 20.0,
            Change::RouterJoin(router),
        ));
    }
    changes
}
