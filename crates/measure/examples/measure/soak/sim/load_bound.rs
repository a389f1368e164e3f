//! Checks the load bound from the requests in progress, independently of the placers,
//! and records when routers last disagreed.

use super::message::Node;
use super::oracle::ViolationKind;
use super::router::LiveRouter;
use super::world::{DATA_CENTRES, ROUTERS, TARGETS, World};

/// Load limit of a target in percent of the mean load.
const BOUND_PERCENT: u64 = 125;
/// Routers must agree for this long before the bound applies: a new owner takes 1 s to
/// rebuild its counts.
const SETTLED_US: u64 = 2_000_000;
/// Time after joining in which a target reaches its full weight.
const WARM_UP_US: u64 = 30_000_000;

/// Routers that one router knows, and its usable targets with their incarnations.
type RouterView = (Vec<u64>, Vec<(u64, u64)>);

/// Views of the running routers of a data centre at the last check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Agreement {
    views: Vec<RouterView>,
    /// Last time at which the views differed or changed, or a process was cut off.
    pub unsettled_us: u64,
}

impl World {
    /// Records for each data centre when its routers disagree, a view changes, or one of
    /// its processes is cut off.
    pub fn check_agreement(&mut self) {
        for centre in 0..DATA_CENTRES {
            let mut views = Vec::new();
            let mut up = Vec::new();
            for router in (0..ROUTERS).filter(|r| r % DATA_CENTRES == centre) {
                if let Some(live) = &self.routers[router].live {
                    let usable = live
                        .usable
                        .iter()
                        .map(|(id, incarnation)| (*id, *incarnation))
                        .collect();
                    views.push((live.membership.routers().to_vec(), usable));
                    up.push(self.routers[router].id);
                }
            }
            up.sort_unstable();
            let agree = views.iter().all(|view| *view == views[0] && view.0 == up);
            let cut = self.is_disturbed(centre);
            if !agree || cut || views != self.agreement[centre].views {
                self.agreement[centre].unsettled_us = self.now_us;
            }
            self.agreement[centre].views = views;
        }
    }

    /// Whether a process of a data centre is isolated or has a silent link.
    fn is_disturbed(&self, centre: usize) -> bool {
        let in_centre = |node: &Node| self.data_centre(*node) == centre;
        self.network
            .isolated
            .keys()
            .any(|(node, _)| in_centre(node))
            || self.network.silent.iter().any(|(from, _)| in_centre(from))
    }

    /// Whether a process in the router's data centre was cut off at or after `since_ms`.
    pub fn was_cut(&self, router: usize, since_ms: u64) -> bool {
        let cut_us = self.last_cut_us[router];
        self.is_disturbed(router % DATA_CENTRES) || (cut_us > 0 && cut_us / 1000 >= since_ms)
    }

    /// Checks a grant against the bound: 1.25 times the mean load, or the mean load and
    /// one request if that is more. `live` is the router that sends the request. Grants
    /// above the bound are only counted while the routers have not agreed for
    /// `SETTLED_US`.
    pub fn check_bound(&mut self, router: usize, live: &LiveRouter, engine: usize, work: u64) {
        let centre = router % DATA_CENTRES;
        let mut loads = [0_u64; TARGETS];
        let mut largest = work;
        for other in (0..ROUTERS).filter(|r| r % DATA_CENTRES == centre) {
            let state = if other == router {
                Some(live)
            } else {
                self.routers[other].live.as_ref()
            };
            for (target, tokens) in state
                .iter()
                .flat_map(|l| l.jobs.values())
                .filter_map(|j| j.counted_work)
            {
                if let Some(index) = self.targets.iter().position(|t| t.id == target) {
                    loads[index] += tokens;
                    if index == engine {
                        largest = largest.max(tokens);
                    }
                }
            }
        }
        let mut weight_percent = 0;
        let mut sum = 0;
        for (index, load) in loads.iter().enumerate() {
            if live.usable.contains_key(&self.targets[index].id) {
                let age_us = self.now_us.saturating_sub(self.targets[index].joined_us);
                weight_percent += (age_us * 100 / WARM_UP_US).clamp(10, 100);
                sum += load;
            }
        }
        self.oracle.tally.grants += 1;
        let mean = sum * 100 / weight_percent.max(1);
        let limit = (mean * BOUND_PERCENT / 100).max(mean + largest) + 1;
        let load = loads[engine];
        if load <= limit {
            return;
        }
        let percent = load * 100 / limit.max(1);
        if self.now_us < self.agreement[centre].unsettled_us + SETTLED_US {
            let tally = &mut self.oracle.tally;
            tally.excused_grants += 1;
            tally.worst_excused_percent = tally.worst_excused_percent.max(percent);
            return;
        }
        let worst = &mut self.oracle.tally.worst_grant_percent;
        *worst = (*worst).max(percent);
        let (counted, all) = self.counted_by_owners(centre, router, live, engine);
        let what = format!(
            "engine {engine} has {load} tokens, {percent}% of the limit {limit} (mean {mean}), after \
             a grant of {work} to router {router}; its owner counts {counted}, all owners {all}, \
             holders {sum}"
        );
        self.fail(ViolationKind::LoadBound, what);
    }

    /// Tokens that the owners count on one engine and on all engines of a data centre.
    fn counted_by_owners(
        &self,
        centre: usize,
        router: usize,
        live: &LiveRouter,
        engine: usize,
    ) -> (u64, u64) {
        let (mut one, mut all) = (0, 0);
        for other in (0..ROUTERS).filter(|r| r % DATA_CENTRES == centre) {
            let state = if other == router {
                Some(live)
            } else {
                self.routers[other].live.as_ref()
            };
            for (index, target) in self.targets.iter().enumerate() {
                let known = state.filter(|_| live.usable.contains_key(&target.id));
                let counted = known.and_then(|l| l.placer.counted_tokens(target.id));
                all += counted.unwrap_or(0);
                if index == engine {
                    one += counted.unwrap_or(0);
                }
            }
        }
        (one, all)
    }

    /// Checks that routers without requests count no load.
    pub fn check_counts(&mut self) {
        for router in 0..ROUTERS {
            let Some(live) = &self.routers[router].live else {
                continue;
            };
            let targets = self.targets.iter();
            let counted = targets.filter_map(|target| live.placer.counted_tokens(target.id));
            let left: u64 = counted.sum();
            if left > 0 && live.jobs.is_empty() {
                let what = format!("router {router} counts {left} tokens without a request");
                self.fail(ViolationKind::LoadBound, what);
            }
        }
    }
}
