//! Time and memory of one placer, and how they grow with targets, routers and teams.

use std::time::{Duration, Instant};

use bamboospur_placement::{
    Decision, PlacementOutput, PlacementRequest, PlacementSettings, Placer, TargetView,
};
use bamboospur_types::{TargetState, mix64};
use serde_json::{Value, json};

use super::world::{ENGINE_CAPACITY_TOKENS, OFFER_ID};

/// Placements over which a time is averaged.
const DECISION_COUNT: u64 = 10_000;

fn new_placer(targets: u64, routers: u64, now: Instant) -> Placer {
    let mut placer = Placer::new(PlacementSettings::default(), mix64(1), 1, 1);
    let ids: Vec<u64> = (1..=routers).map(mix64).collect();
    for index in 0..targets {
        let view = TargetView {
            id: mix64(1_000 + index),
            incarnation: 1,
            data_centre: 0,
            same_data_centre: true,
            offers: vec![OFFER_ID],
            capacity_tokens: ENGINE_CAPACITY_TOKENS,
            capacity_requests: 1_000_000,
            report: None,
            state: TargetState::Ready,
            damped: false,
        };
        placer.set_target(view, now);
    }
    placer.set_routers(&ids, now);
    placer
}

/// Returns the mean times of one `place` and of one `tick`.
fn time_per_call_us(targets: u64, routers: u64, teams: u64) -> (f64, f64) {
    let mut now = Instant::now();
    let mut placer = new_placer(targets, routers, now);
    let (mut place_time, mut tick_time) = (Duration::ZERO, Duration::ZERO);
    for chat in 0..DECISION_COUNT {
        let request = PlacementRequest {
            team: chat % teams,
            chat: mix64(chat),
            offer: Some(OFFER_ID),
            work_tokens: 1_000,
            prefix_tokens: 0,
            excluded: &[],
            hint: None,
            priority: 0,
        };
        let started = Instant::now();
        let decision = placer.place(&request, now);
        place_time += started.elapsed();
        if let Decision::Send { ticket, .. } = decision {
            placer.finish(ticket, now);
        }
        now += Duration::from_millis(5);
        let started = Instant::now();
        let outputs = placer.tick(now);
        tick_time += started.elapsed();
        for output in outputs {
            if let PlacementOutput::Placed { ticket, .. } = output {
                placer.finish(ticket, now);
            }
        }
    }
    let mean_us = |time: Duration| time.as_secs_f64() * 1e6 / DECISION_COUNT as f64;
    (mean_us(place_time), mean_us(tick_time))
}

/// Returns the resident memory of this process; 0 if it is unknown.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse().ok());
    pages.unwrap_or(0.0) * 4_096.0
}

/// Returns the memory of one placer that remembers no chats. The placers stay in
/// `kept`, so that later ones do not reuse their memory.
fn placer_bytes(targets: u64, routers: u64, kept: &mut Vec<Placer>) -> f64 {
    const PLACER_COUNT: usize = 200;
    let now = Instant::now();
    let before = resident_bytes();
    kept.extend((0..PLACER_COUNT).map(|_| new_placer(targets, routers, now)));
    (resident_bytes() - before) / PLACER_COUNT as f64
}

/// Measures with the large size's 338 targets, 52 routers and 11,000 teams, and with
/// three times each of them.
pub fn measure() -> Value {
    let mut kept = Vec::new();
    let sizes = [(338, 52), (338, 156), (1_014, 52)];
    let bytes = sizes.map(|(targets, routers)| placer_bytes(targets, routers, &mut kept));
    drop(kept);
    let (base, more_targets) = (
        time_per_call_us(338, 52, 11_000),
        time_per_call_us(1_014, 52, 11_000),
    );
    let (more_routers, more_teams) = (
        time_per_call_us(338, 156, 11_000),
        time_per_call_us(338, 52, 33_000),
    );
    json!({
        "place_us": base.0,
        "tick_us": base.1,
        "place_ns_per_target": (more_targets.0 - base.0) * 1e3 / 676.0,
        "place_ns_per_router": (more_routers.0 - base.0) * 1e3 / 104.0,
        "place_ns_per_team": (more_teams.0 - base.0) * 1e3 / 22_000.0,
        "tick_ns_per_router": (more_routers.1 - base.1) * 1e3 / 104.0,
        "memory_bytes": bytes[0],
        "memory_bytes_per_target": (bytes[2] - bytes[0]) / 676.0,
        "memory_bytes_per_router": (bytes[1] - bytes[0]) / 104.0,
        "memory_bytes_per_team": 0,
    })
}
