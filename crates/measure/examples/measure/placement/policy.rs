//! Policies compared in one run.

use bamboospur_placement::{PlacementSettings, PolicyFeatures, ReservationMode};

use super::engine::Engine;
use super::trace::Random;

/// How targets are chosen.
#[derive(Clone, Debug)]
pub enum Policy {
    RoundRobin,
    LeastReported,
    /// Knows every cache and every load exactly.
    Oracle,
    Placer(Box<PlacementSettings>),
}

fn placer(change: impl Fn(&mut PolicyFeatures)) -> Policy {
    let mut settings = PlacementSettings::default();
    change(&mut settings.features);
    Policy::Placer(Box::new(settings))
}

fn without_owners(parts: &mut PolicyFeatures) {
    parts.reservation_mode = ReservationMode::Never;
    parts.hints = false;
}

fn stateless(parts: &mut PolicyFeatures) {
    parts.memory = false;
    parts.location_notes = false;
    parts.hints = false;
    parts.steering = false;
}

/// Returns all policies by name.
pub fn all() -> Vec<(&'static str, Policy)> {
    let reports = |change: fn(&mut PolicyFeatures)| {
        placer(|parts| {
            without_owners(parts);
            change(parts);
        })
    };
    let owners = |change: fn(&mut PolicyFeatures)| {
        placer(|parts| {
            stateless(parts);
            change(parts);
        })
    };
    vec![
        ("oracle", Policy::Oracle),
        ("chosen", placer(|_| {})),
        ("round_robin", Policy::RoundRobin),
        ("least_reported", Policy::LeastReported),
        ("rendezvous", reports(|parts| parts.bounded = false)),
        ("two_choices", reports(|parts| parts.two_choices = true)),
        ("reports_spill", reports(|_| {})),
        ("reports_spill_hints", reports(|parts| parts.hints = true)),
        ("owner_spill", owners(|_| {})),
        ("owner_spill_hints", owners(|parts| parts.hints = true)),
        (
            "no_memory",
            owners(|parts| (parts.hints, parts.steering) = (true, true)),
        ),
        ("no_notes", placer(|parts| parts.location_notes = false)),
        ("no_steering", placer(|parts| parts.steering = false)),
        ("no_hints", placer(|parts| parts.hints = false)),
        (
            "no_discount",
            placer(|parts| parts.cached_prefix_discount = false),
        ),
        (
            "near_bound",
            placer(|parts| parts.reservation_mode = ReservationMode::NearBound),
        ),
    ]
}

/// What a baseline sees of a data centre.
pub struct Seen<'a> {
    pub engines: &'a [Engine],
    /// Ready engines of the request's data centre.
    pub ready: &'a [usize],
    pub chat: u64,
    pub cold_work: u64,
    pub prefix_tokens: u32,
    pub cached_cost: f64,
}

/// Chooses the target with the lowest reported load, ties at random.
pub fn least_reported(seen: &Seen<'_>, random: &mut Random) -> Option<usize> {
    let reported = |index: &usize| seen.engines[*index].history.front().map_or(0, |h| h.0);
    let low = seen.ready.iter().map(reported).min()?;
    let tied: Vec<usize> = seen
        .ready
        .iter()
        .copied()
        .filter(|i| reported(i) == low)
        .collect();
    Some(tied[random.below(tied.len())])
}

/// Chooses the most cached target within the exact bound, else the least loaded.
pub fn oracle(seen: &Seen<'_>, bound: f64) -> Option<usize> {
    let total: u64 = seen
        .ready
        .iter()
        .map(|i| seen.engines[*i].load_tokens)
        .sum();
    let load = |index: usize| seen.engines[index].load_tokens;
    let mut cached: Vec<(u32, usize)> = seen
        .ready
        .iter()
        .map(|index| {
            (
                seen.engines[*index]
                    .cached(seen.chat)
                    .min(seen.prefix_tokens),
                *index,
            )
        })
        .filter(|(tokens, _)| *tokens > 0)
        .collect();
    cached.sort_unstable_by_key(|(tokens, index)| (std::cmp::Reverse(*tokens), load(*index)));
    for (tokens, index) in cached {
        let work = seen.cold_work - (f64::from(tokens) * (1.0 - seen.cached_cost)) as u64;
        let mean = (total + work) as f64 / seen.ready.len() as f64;
        let before = load(index) as f64;
        if before + work as f64 <= bound * mean || before <= mean {
            return Some(index);
        }
    }
    seen.ready.iter().copied().min_by_key(|index| load(*index))
}
