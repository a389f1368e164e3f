//! Choice among the targets that a request may go to.

use std::collections::BTreeSet;
use std::time::Instant;

use bamboospur_placement::rendezvous_score;
use bamboospur_registry::TargetName;
use bamboospur_target_limits::TargetLimits;
use bamboospur_types::mix64;

use crate::arrivals::choose_by_water_filling;
use crate::cache_map::{CacheId, PrefixHash};
use crate::request::ChosenTarget;
use crate::settings::DispatchSettings;
use crate::target::{Target, prompt_capacity};

/// Inputs of a choice besides the request and the targets.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceContext<'a> {
    pub settings: &'a DispatchSettings,
    /// Limits that targets stated.
    pub limits: &'a TargetLimits,
    /// Data centres whose targets get no requests.
    pub evacuated: &'a BTreeSet<String>,
    /// Number of routers that send to the same targets, this one included.
    pub router_count: u32,
    pub random: u64,
    pub now: Instant,
}

impl ChoiceContext<'_> {
    /// Returns a random number in [0, 1), the same for the same salt.
    pub fn random_unit(&self, salt: u64) -> f64 {
        unit_interval(mix64(self.random ^ salt))
    }

    /// Whether a target gets no requests because its data centre is evacuated.
    pub fn is_evacuated(&self, target: &Target) -> bool {
        self.evacuated.contains(&target.data_centre)
    }
}

/// Maps random bits to [0, 1).
#[expect(
    clippy::cast_precision_loss,
    reason = "the shift leaves 53 bits, which an f64 holds exactly"
)]
pub fn unit_interval(random: u64) -> f64 {
    (random >> 11) as f64 / (1_u64 << 53) as f64
}

/// A target that the request may be sent to, with its estimated load.
pub struct Candidate<'a> {
    pub name: &'a TargetName,
    pub target: &'a Target,
    pub load: f64,
    /// Whether the target states a limit. It is used for prompts that it has cached, and for
    /// others when no other target has room: what it has to copy or to process, the next
    /// request with the prompt does not find there.
    pub is_spared: bool,
}

/// Returns whether the targets together are above half of their prompt capacity.
pub fn is_half_full(available: &[Candidate<'_>], settings: &DispatchSettings) -> bool {
    let capacity: f64 = available
        .iter()
        .map(|c| prompt_capacity(c.target, settings))
        .sum();
    available.iter().map(|c| c.load).sum::<f64>() * 2.0 > capacity
}

/// Returns whether a target can take another prompt.
pub fn has_capacity(candidate: &Candidate<'_>, settings: &DispatchSettings) -> bool {
    candidate.load + 1.0 <= prompt_capacity(candidate.target, settings)
}

/// A prompt and the requests that other routers are expected to send before their next loads
/// arrive.
pub struct PromptDemand {
    pub prefix_hash: PrefixHash,
    /// Targets that have the prefix cached.
    pub caches: BTreeSet<CacheId>,
    /// Requests of other routers with the same prefix.
    pub expected_same_prefix: f64,
    /// Requests of all routers for the service, divided by its targets.
    pub expected_per_target: f64,
}

/// Mean loads of the targets without a limit.
#[derive(Clone, Copy, Debug)]
pub struct MeanLoads {
    /// Of all, to which the bound required of deployments refers.
    pub all: f64,
    /// Of those that are not evacuated.
    pub open: f64,
    /// Number of those that are not evacuated, at least 1.
    pub open_count: f64,
}

impl MeanLoads {
    /// Returns the load bound required of deployments.
    pub fn max_load(self, settings: &DispatchSettings) -> f64 {
        self.all * settings.max_load_factor + settings.max_load_slack
    }

    /// Returns the load up to which estimates are trusted. While a data centre is evacuated,
    /// the others are closer to the bound.
    fn safe_load(self, settings: &DispatchSettings) -> f64 {
        f64::midpoint(self.open, self.max_load(settings))
    }
}

/// Chooses a target that has the prompt's prefix cached. Prompts beyond the load bound of
/// these targets go to the next ones in the rendezvous order of the prefix.
pub fn choose_by_prompt(
    available: &[Candidate<'_>],
    prompt: &PromptDemand,
    means: MeanLoads,
    context: ChoiceContext<'_>,
) -> ChosenTarget {
    let settings = context.settings;
    let score = |c: &Candidate<'_>| rendezvous_score(prompt.prefix_hash, c.target.hash, 1.0);
    let scored = available
        .iter()
        .map(|candidate| (score(candidate), candidate));
    let mut order: Vec<(f64, &Candidate<'_>)> = scored.collect();
    order.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    let ranked = || order.iter().map(|&(_, c)| c).enumerate();
    #[expect(clippy::cast_precision_loss, reason = "a pool has few targets")]
    let expected_arrivals = |targets: usize| {
        let usual = prompt.expected_per_target * targets.max(1) as f64;
        prompt.expected_same_prefix.max(usual)
    };
    let pick = |among: &[(usize, &Candidate<'_>)], bound: f64| {
        let loads: Vec<f64> = among.iter().map(|(_, c)| c.load).collect();
        let arrivals = expected_arrivals(among.len());
        let picked = choose_by_water_filling(&loads, arrivals, context.random_unit(1))?;
        let (rank, candidate) = among[picked];
        Some(chosen_target(candidate, bound, rank, context.now))
    };
    let max_load = means.max_load(settings);
    let safe_load = means.safe_load(settings);
    let reuse_bound = (means.open * settings.reuse_factor + settings.reuse_slack).min(safe_load);
    let cached = ranked().filter(|(_, c)| prompt.caches.contains(&c.target.cache_id));
    let cached: Vec<_> = cached
        .filter(|(_, c)| c.load + 1.0 <= reuse_bound)
        .collect();
    let cached_capacity: f64 = cached.iter().map(|(_, c)| max_load - c.load).sum();
    let expected = expected_arrivals(cached.len()).max(1.0);
    let can_reuse = context.random_unit(2) * expected < cached_capacity;
    let reuse = if can_reuse {
        pick(&cached, reuse_bound)
    } else {
        None
    };
    if let Some(choice) = reuse {
        return choice;
    }
    let bound = (means.open * settings.load_factor + settings.load_slack).min(safe_load);
    let below = ranked().filter(|(_, c)| c.load + 1.0 <= bound);
    let mut below: Vec<_> = below.collect();
    if below.iter().any(|(_, c)| !c.is_spared) {
        below.retain(|(_, c)| !c.is_spared);
    }
    below.truncate(targets_needed(
        &below,
        bound,
        prompt.expected_same_prefix - cached_capacity,
    ));
    let any_target = || pick(&ranked().collect::<Vec<_>>(), bound);
    let choice = pick(&below, bound).or_else(any_target);
    choice.unwrap_or_else(|| chosen_target(&available[0], bound, 0, context.now))
}

/// Returns how many of the first targets are needed to take the requests below the bound, at
/// least one.
fn targets_needed(targets: &[(usize, &Candidate<'_>)], bound: f64, requests: f64) -> usize {
    let mut remaining = requests;
    let full = targets.iter().take_while(|(_, c)| {
        remaining -= bound - c.load;
        remaining > 0.0
    });
    full.count() + 1
}

/// Chooses the target with the shortest expected wait; ties are broken at random. A target
/// that states a limit counts with the lowest latency: its limit spares it, and this router
/// uses its part.
pub fn choose_by_expected_wait(
    available: &[Candidate<'_>],
    context: ChoiceContext<'_>,
) -> ChosenTarget {
    let ChoiceContext { settings, now, .. } = context;
    let latencies = available.iter().map(|c| c.target.health.latency_s());
    let best_s = latencies.fold(f64::INFINITY, f64::min);
    let latency_s = |target: &Target| {
        if context.limits.is_limited(target.cache_id) {
            best_s
        } else {
            target.health.expected_latency_s(best_s, settings, now)
        }
    };
    let wait_s = |c: &Candidate<'_>| {
        let remote_s = if c.target.is_local {
            0.0
        } else {
            settings.remote_penalty.as_secs_f64()
        };
        (c.load + 1.0) * latency_s(c.target) + remote_s
    };
    let best_index = (0..available.len()).min_by(|&a, &b| {
        let tie_break = |i: usize| mix64(context.random ^ available[i].target.hash);
        wait_s(&available[a])
            .total_cmp(&wait_s(&available[b]))
            .then(tie_break(a).cmp(&tie_break(b)))
    });
    let best = &available[best_index.unwrap_or(0)];
    chosen_target(best, f64::INFINITY, 0, now)
}

pub fn chosen_target(
    candidate: &Candidate<'_>,
    bound: f64,
    rank: usize,
    now: Instant,
) -> ChosenTarget {
    ChosenTarget {
        name: candidate.name.clone(),
        start: candidate.target.start,
        address: candidate.target.address,
        software: candidate.target.software.clone(),
        load: candidate.load,
        bound,
        copy_from: None,
        is_cached: false,
        prefix_hash: 0,
        chosen_at: now,
        rank,
    }
}
