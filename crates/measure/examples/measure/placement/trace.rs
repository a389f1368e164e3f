//! Synthetic trace of requests: chats with several turns, heavy-tailed team sizes and
//! a surge of one team.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bamboospur_types::mix64;

/// Fleet and trace of one run.
#[derive(Clone, Debug)]
pub struct Size {
    pub name: &'static str,
    /// Routers and targets of each data centre.
    pub data_centres: Vec<(usize, usize)>,
    /// Chats that are open at the start.
    pub chats: usize,
    pub teams: usize,
    /// Length of the run, with the warm-up.
    pub seconds: u64,
    pub warm_up_seconds: u64,
    /// Rank of the team whose traffic rises tenfold in the surge.
    pub surge_team: usize,
}

/// One request of the trace.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_us: u64,
    pub chat: u64,
    pub team: u64,
    pub router: u16,
    /// Prompt tokens of earlier turns, which a cache may hold.
    pub prefix_tokens: u32,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    /// Whether the caller names the target of the previous turn as a hint.
    pub hinted: bool,
}

/// Seeded pseudo-random generator.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix64(self.0)
    }

    /// Returns a value in (0, 1).
    pub fn uniform(&mut self) -> f64 {
        ((self.next() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
    }

    pub fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit.max(1) as u64) as usize
    }

    pub fn lognormal(&mut self, median: f64, sigma: f64) -> f64 {
        let radius = (-2.0 * self.uniform().ln()).sqrt();
        median * (sigma * radius * (std::f64::consts::TAU * self.uniform()).cos()).exp()
    }
}

/// Share of the gaps between turns that last hours. With short gaps of about 105 s
/// on average, 590,000 chats then send 737 requests a second.
const LONG_GAP_SHARE: f64 = 0.077;

struct Chat {
    id: u64,
    team: u64,
    /// Prompt of the next turn without what the caller adds.
    context_tokens: u32,
    /// The chat ends after the turn that exceeds this context.
    context_limit_tokens: u32,
    hinted: bool,
}

struct Generator<'a> {
    random: Random,
    size: &'a Size,
    /// Running sum of the teams' shares of the chats, by rank.
    cumulative_team_shares: Vec<f64>,
    /// First router and count of routers of each data centre.
    router_ranges: Vec<(usize, usize)>,
}

impl Generator<'_> {
    /// Creates a chat, of a random team if none is given. A chat that is not fresh
    /// begins with a random part of its context.
    fn new_chat(&mut self, team: Option<usize>, fresh: bool) -> Chat {
        let point = self.random.uniform();
        let drawn_team = self
            .cumulative_team_shares
            .partition_point(|share| *share < point);
        let mut chat = Chat {
            id: self.random.next(),
            team: team.unwrap_or(drawn_team) as u64,
            context_tokens: 0,
            context_limit_tokens: self.random.lognormal(5_000.0, 0.6).clamp(1_500.0, 16_000.0)
                as u32,
            hinted: self.random.uniform() < 0.5,
        };
        if !fresh {
            chat.context_tokens =
                (f64::from(chat.context_limit_tokens) * self.random.uniform()) as u32;
        }
        chat
    }

    /// Draws the time between two turns of a chat.
    fn gap_us(&mut self) -> u64 {
        let seconds = if self.random.uniform() < LONG_GAP_SHARE {
            3_600.0 + 10_800.0 * self.random.uniform()
        } else {
            2.0 + self.random.lognormal(65.0, 0.95).min(3_600.0)
        };
        (seconds * 1e6) as u64
    }

    /// Draws the time from a random moment to a chat's next turn.
    fn residual_us(&mut self) -> u64 {
        loop {
            let gap = self.gap_us();
            // A random moment lies in a gap with a probability in proportion to the
            // gap's length; the longest gap is 14.4e9 us.
            if self.random.uniform() < gap as f64 / 14.4e9 {
                return (gap as f64 * self.random.uniform()) as u64;
            }
        }
    }

    /// Makes the next request of a chat; a chat that exceeded its limit is replaced by
    /// a new one of the same team.
    fn next_turn(&mut self, chat: &mut Chat, at_us: u64) -> Arrival {
        if chat.context_tokens > chat.context_limit_tokens {
            let team = chat.team as usize;
            *chat = self.new_chat(Some(team), true);
        }
        let added_tokens = match chat.context_tokens {
            0 => self.random.lognormal(700.0, 0.7).clamp(50.0, 8_000.0),
            _ => self.random.lognormal(180.0, 0.9).clamp(10.0, 3_000.0),
        };
        let output_tokens = self.random.lognormal(170.0, 0.8).clamp(8.0, 1_500.0);
        // One turn in fifty arrives at a random data centre, all others at the chat's.
        let is_elsewhere = self.random.uniform() < 0.02;
        let router_hash = if is_elsewhere {
            self.random.next()
        } else {
            mix64(chat.id)
        };
        let router_count: usize = self
            .size
            .data_centres
            .iter()
            .map(|(routers, _)| routers)
            .sum();
        let router_index = (router_hash % router_count as u64) as usize;
        let data_centre = self
            .router_ranges
            .iter()
            .rposition(|(first, _)| *first <= router_index);
        let (first, count) = self.router_ranges[data_centre.unwrap_or(0)];
        let arrival = Arrival {
            at_us,
            chat: chat.id,
            team: chat.team,
            router: (first + self.random.below(count)) as u16,
            prefix_tokens: chat.context_tokens,
            prompt_tokens: chat.context_tokens + added_tokens as u32,
            output_tokens: output_tokens as u32,
            hinted: chat.hinted,
        };
        chat.context_tokens = arrival.prompt_tokens + arrival.output_tokens;
        arrival
    }
}

/// Generates the arrivals of a run in order of time.
pub fn generate(size: &Size, seed: u64) -> Vec<Arrival> {
    let weights: Vec<f64> = (1..=size.teams).map(|rank| 1.0 / rank as f64).collect();
    let total: f64 = weights.iter().sum();
    let shares = weights.iter().scan(0.0, |sum, weight| {
        *sum += weight / total;
        Some(*sum)
    });
    let routers = size.data_centres.iter().scan(0, |first, (count, _)| {
        let range = (*first, *count);
        *first += count;
        Some(range)
    });
    let mut generator = Generator {
        random: Random(seed),
        cumulative_team_shares: shares.collect(),
        router_ranges: routers.collect(),
        size,
    };
    let end_us = size.seconds * 1_000_000;
    let mut chats = Vec::new();
    let mut queue = BinaryHeap::new();
    for index in 0..size.chats {
        chats.push(generator.new_chat(None, false));
        queue.push(Reverse((generator.residual_us(), index)));
    }
    add_surge(
        &mut generator,
        &mut chats,
        &mut queue,
        weights[size.surge_team] / total,
    );
    let mut arrivals = Vec::new();
    while let Some(Reverse((at_us, index))) = queue.pop() {
        if at_us >= end_us {
            break;
        }
        arrivals.push(generator.next_turn(&mut chats[index], at_us));
        queue.push(Reverse((at_us + generator.gap_us(), index)));
    }
    arrivals
}

/// Adds nine times the surging team's active chats. They start at random times in the
/// sixth of the run that begins at two thirds of its length.
fn add_surge(
    generator: &mut Generator<'_>,
    chats: &mut Vec<Chat>,
    queue: &mut BinaryHeap<Reverse<(u64, usize)>>,
    team_share: f64,
) {
    let (size, start_us) = (generator.size, generator.size.seconds * 1_000_000 * 2 / 3);
    // About one chat in eight is active, that is, between short gaps.
    let count = (9.0 * team_share * size.chats as f64 / 8.0) as usize;
    for _ in 0..count {
        let chat = generator.new_chat(Some(size.surge_team), true);
        chats.push(chat);
        let delay_us = size.seconds as f64 * 1e6 / 6.0 * generator.random.uniform();
        queue.push(Reverse((start_us + delay_us as u64, chats.len() - 1)));
    }
}
