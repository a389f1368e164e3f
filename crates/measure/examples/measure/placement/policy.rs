//! The placement policies that a run compares.

use bamboospur_placement::{PlacementSettings, PolicyFeatures, ReservationMode};

use super::engine::Engine;
use super::trace::Random;

/// How the target of a request is chosen.
#[derive(Clone, Debug)]
pub enum Policy {
    RoundRobin,
    LeastReported,
    /// Reference that knows every cache and every load exactly.
    Oracle,
    /// The placement crate with these settings.
    Placer(Box<PlacementSettings>),
}

fn placer_with(change: impl Fn(&mut PolicyFeatures)) -> Policy {
    let mut settings = PlacementSettings::default();
    change(&mut settings.features);
    Policy::Placer(Box::new(settings))
}

/// Places from load reports alone, without reservations and hints.
fn reports_only(features: &mut PolicyFeatures) {
    features.reservation_mode = ReservationMode::Never;
    features.hints = false;
}

/// Places by reservations alone, without remembered chats, steering or hints.
fn reservations_only(features: &mut PolicyFeatures) {
    features.memory = false;
    features.location_notes = false;
    features.hints = false;
    features.steering = false;
}

/// Returns all policies with the names that the report uses; the oracle is first.
pub fn all() -> Vec<(&'static str, Policy)> {
    let from_reports = |change: fn(&mut PolicyFeatures)| {
        placer_with(|features| {
            reports_only(features);
            change(features);
        })
    };
    let from_reservations = |change: fn(&mut PolicyFeatures)| {
        placer_with(|features| {
            reservations_only(features);
            change(features);
        })
    };
    vec![
        ("oracle", Policy::Oracle),
        ("chosen", placer_with(|_| {})),
        ("round_robin", Policy::RoundRobin),
        ("least_reported", Policy::LeastReported),
        (
            "rendezvous",
            from_reports(|features| features.bounded = false),
        ),
        (
            "two_choices",
            from_reports(|features| features.two_choices = true),
        ),
        ("reports_spill", from_reports(|_| {})),
        (
            "reports_spill_hints",
            from_reports(|features| features.hints = true),
        ),
        ("owner_spill", from_reservations(|_| {})),
        (
            "owner_spill_hints",
            from_reservations(|features| features.hints = true),
        ),
        (
            "no_memory",
            from_reservations(|features| (features.hints, features.steering) = (true, true)),
        ),
        (
            "no_notes",
            placer_with(|features| features.location_notes = false),
        ),
        (
            "no_steering",
            placer_with(|features| features.steering = false),
        ),
        ("no_hints", placer_with(|features| features.hints = false)),
        (
            "no_discount",
            placer_with(|features| features.cached_prefix_discount = false),
        ),
        (
            "near_bound",
            placer_with(|features| features.reservation_mode = ReservationMode::NearBound),
        ),
    ]
}

/// One request and the engines that a baseline policy chooses from.
pub struct BaselineInput<'a> {
    /// Engines of all data centres.
    pub engines: &'a [Engine],
    /// Indexes of the candidates: the ready engines of the request's data centre,
    /// or of all data centres when it has none.
    pub ready: &'a [usize],
    pub chat: u64,
    /// Work in tokens when nothing is cached.
    pub cold_work: u64,
    /// Prompt tokens that a cache can hold from earlier turns.
    pub prefix_tokens: u32,
    /// Work of a cached token; an uncached one counts 1.
    pub cached_token_cost: f64,
}

/// Chooses the target with the lowest reported load, ties at random.
pub fn least_reported(input: &BaselineInput<'_>, random: &mut Random) -> Option<usize> {
    let reported = |index: &usize| {
        input.engines[*index]
            .load_history
            .front()
            .map_or(0, |load| load.0)
    };
    let lowest = input.ready.iter().map(reported).min()?;
    let tied: Vec<usize> = input
        .ready
        .iter()
        .copied()
        .filter(|index| reported(index) == lowest)
        .collect();
    Some(tied[random.below(tied.len())])
}

/// Chooses the target with most of the prefix cached among those whose exact load
/// stays within `bound` times the mean or is at most the mean, else the least loaded
/// target.
pub fn oracle(input: &BaselineInput<'_>, bound: f64) -> Option<usize> {
    let total: u64 = input
        .ready
        .iter()
        .map(|index| input.engines[*index].load_tokens)
        .sum();
    let load = |index: usize| input.engines[index].load_tokens;
    let mut cached: Vec<(u32, usize)> = input
        .ready
        .iter()
        .map(|index| {
            (
                input.engines[*index]
                    .cached_tokens_for(input.chat)
                    .min(input.prefix_tokens),
                *index,
            )
        })
        .filter(|(tokens, _)| *tokens > 0)
        .collect();
    cached.sort_unstable_by_key(|(tokens, index)| (std::cmp::Reverse(*tokens), load(*index)));
    for (tokens, index) in cached {
        let work = input.cold_work - (f64::from(tokens) * (1.0 - input.cached_token_cost)) as u64;
        let mean = (total + work) as f64 / input.ready.len() as f64;
        let load_before = load(index) as f64;
        if load_before + work as f64 <= bound * mean || load_before <= mean {
            return Some(index);
        }
    }
    input.ready.iter().copied().min_by_key(|index| load(*index))
}
