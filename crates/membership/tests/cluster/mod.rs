//! Simulates instances and targets in virtual time, with a network that loses,
//! duplicates, delays and reorders packets.

#![allow(dead_code, reason = "each test program uses a part")]

mod names;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use bamboospur_membership::{
    Load, Membership, MembershipInput, MembershipOutput, MembershipSettings, Rng, Seed,
};
use bamboospur_types::{TargetId, TargetRecord, TargetState, stable_id};

use names::node_of;
pub use names::{address_of, instance, target_record};

/// Delays and faults of the simulated network.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub delay_us: u64,
    pub jitter_us: u64,
}

/// A simulated target.
pub struct SimTarget {
    pub record: TargetRecord,
    pub alive: bool,
    pub draining: bool,
    pub sequence: u32,
    pub load: Load,
    /// Instance that gets the heartbeats of the target while the instance is up.
    pub home: usize,
    /// Whether an instance has accepted an announcement.
    announced: bool,
}

enum Event {
    Tick(usize),
    Heartbeat(usize),
    Deliver {
        to: usize,
        from: usize,
        input: Box<MembershipInput>,
    },
    ProbeAnswered {
        to: usize,
        input: Box<MembershipInput>,
    },
}

pub struct Cluster {
    pub start: Instant,
    pub now: Instant,
    pub network: Network,
    pub nodes: Vec<Option<Membership>>,
    pub targets: Vec<SimTarget>,
    /// Side of a network partition that each instance is on; packets between different
    /// sides are lost.
    pub sides: Vec<u8>,
    pub rng: Rng,
    /// Targets that have left; they send nothing more, but still serve.
    pub departed: BTreeSet<usize>,
    /// Answers to the calls of leaving targets: the instance, the target, and whether other
    /// instances know the departure.
    pub departure_replies: Vec<(usize, TargetId, bool)>,
    /// Largest number of bytes that any instance sent within one second.
    pub max_bytes_per_second: usize,
    pub sent_bytes: Vec<u64>,
    /// Whether the loads of targets change at random with each heartbeat.
    pub random_load: bool,
    /// Packets that each instance sent within the last second.
    windows: Vec<VecDeque<(Instant, usize)>>,
    /// Pending events by time; the number keeps events of equal time in order.
    events: BTreeMap<(Instant, u64), Event>,
    next_event: u64,
    settings: MembershipSettings,
}

impl Cluster {
    pub fn new(nodes: usize, targets: usize, mut settings: MembershipSettings, seed: u64) -> Self {
        let seeds = (0..nodes.min(3)).map(|node| Seed {
            address: address_of(node),
            data_centre: "dc".to_owned(),
        });
        settings.seeds = seeds.collect();
        let start = Instant::now();
        let mut cluster = Self {
            start,
            now: start,
            network: Network {
                delay_us: 500,
                jitter_us: 200,
                ..Network::default()
            },
            nodes: Vec::new(),
            targets: Vec::new(),
            sides: vec![0; nodes],
            rng: Rng::new(seed),
            departed: BTreeSet::new(),
            departure_replies: Vec::new(),
            max_bytes_per_second: 0,
            sent_bytes: vec![0; nodes],
            random_load: true,
            windows: vec![VecDeque::new(); nodes],
            events: BTreeMap::new(),
            next_event: 0,
            settings,
        };
        for node in 0..nodes {
            cluster.nodes.push(None);
            cluster.start_node(node, 1);
        }
        for target in 0..targets {
            cluster.add_target(target, nodes);
        }
        cluster
    }

    fn add_target(&mut self, target: usize, nodes: usize) {
        let home = self.rng.index(nodes);
        self.targets.push(SimTarget {
            record: target_record(target, 1),
            alive: false,
            draining: false,
            sequence: 0,
            load: Load::default(),
            home,
            announced: false,
        });
        let phase = Duration::from_micros(self.rng.below(1_000_000));
        self.schedule(self.now + phase, Event::Heartbeat(target));
    }

    pub fn start_node(&mut self, node: usize, incarnation: u64) {
        let seed = self.rng.next_u64();
        let own = instance(node, incarnation);
        self.windows[node].clear();
        let fresh = self.nodes[node].is_none();
        self.nodes[node] = Some(Membership::new(self.settings.clone(), &own, seed));
        if fresh {
            let phase = Duration::from_micros(self.rng.below(200_000));
            self.schedule(self.now + phase, Event::Tick(node));
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((key, _)) = self.events.first_key_value() {
            let key = *key;
            if key.0 > end {
                break;
            }
            let event = self.events.remove(&key).unwrap();
            self.now = key.0;
            self.run_event(event);
        }
        self.now = end;
    }

    fn run_event(&mut self, event: Event) {
        match event {
            Event::Tick(node) => {
                if self.nodes[node].is_some() {
                    self.input(node, MembershipInput::Tick);
                    self.schedule(self.now + self.settings.tick_period, Event::Tick(node));
                }
            }
            Event::Heartbeat(target) => {
                self.send_heartbeat(target);
                // Like those of real targets, the heartbeats are not exactly periodic.
                let jitter = Duration::from_micros(self.rng.below(100_000));
                let pause = Duration::from_millis(950) + jitter;
                self.schedule(self.now + pause, Event::Heartbeat(target));
            }
            Event::Deliver { to, from, input } => {
                if self.sides[to] == self.sides[from] {
                    self.input(to, *input);
                }
            }
            Event::ProbeAnswered { to, input } => {
                self.input(to, *input);
            }
        }
    }

    /// Sends a heartbeat as a real target does: chooses another home instance when the
    /// home is down, and announces the target again when the home does not know it.
    fn send_heartbeat(&mut self, target: usize) {
        if !self.targets[target].alive || self.departed.contains(&target) {
            return;
        }
        if self.nodes[self.targets[target].home].is_none() {
            self.targets[target].home = self.rng.index(self.nodes.len());
        }
        if self.random_load {
            self.change_load(target);
        }
        let sim = &mut self.targets[target];
        sim.sequence += 1;
        let home = sim.home;
        if !sim.announced {
            self.announce(target, home);
            return;
        }
        let sim = &self.targets[target];
        let state = if sim.draining {
            TargetState::Draining
        } else {
            TargetState::Ready
        };
        let input = MembershipInput::Heartbeat {
            target: sim.record.id(),
            incarnation: sim.record.incarnation,
            sequence: sim.sequence,
            state,
            load: sim.load,
        };
        for output in self.input(home, input) {
            if matches!(
                output,
                MembershipOutput::HeartbeatReply { known: false, .. }
            ) {
                self.announce(target, home);
            }
        }
    }

    /// Changes the load by up to 10% up or down, as a random walk.
    fn change_load(&mut self, target: usize) {
        let load = &mut self.targets[target].load;
        let percent = 90 + self.rng.below(21);
        load.tokens = (load.tokens * percent / 100).clamp(20_000, 400_000);
        load.requests = u32::try_from(load.tokens / 6_000).unwrap();
    }

    /// Announces a target; if the announcement is refused, repeats it once with the
    /// lowest incarnation that would be accepted.
    pub fn announce(&mut self, target: usize, node: usize) {
        self.targets[target].alive = true;
        for _ in 0..2 {
            let record = self.targets[target].record.clone();
            let answers = self.input(node, MembershipInput::Announce(record));
            for answer in answers {
                match answer {
                    MembershipOutput::AnnounceReply { accepted: true, .. } => {
                        self.targets[target].announced = true;
                        return;
                    }
                    MembershipOutput::AnnounceReply {
                        least_incarnation, ..
                    } => {
                        self.targets[target].record.incarnation = least_incarnation;
                        self.targets[target].sequence = 0;
                    }
                    _ => {}
                }
            }
        }
    }

    /// Passes an input to an instance, sends the packets and probes it returns, and
    /// returns the other outputs.
    pub fn input(&mut self, node: usize, input: MembershipInput) -> Vec<MembershipOutput> {
        let Some(membership) = self.nodes[node].as_mut() else {
            return Vec::new();
        };
        let outputs = membership.handle(input, self.now);
        let mut others = Vec::new();
        for output in outputs {
            match output {
                MembershipOutput::Send { to, message, bytes } => {
                    assert!(bytes <= bamboospur_membership::MAX_PACKET_BYTES);
                    assert_eq!(bytes, message.packet_bytes());
                    self.count_sent_bytes(node, bytes);
                    let input = MembershipInput::Packet {
                        from: stable_id(&format!("router-{node}")),
                        address: address_of(node),
                        message,
                    };
                    self.transmit(node, node_of(to), &input);
                }
                MembershipOutput::Probe {
                    target,
                    incarnation,
                    ..
                } => {
                    self.count_sent_bytes(node, 400);
                    self.answer_probe(node, target, incarnation);
                }
                MembershipOutput::DepartureReply { target, is_copied } => {
                    self.departure_replies.push((node, target, is_copied));
                }
                other => others.push(other),
            }
        }
        others
    }

    fn transmit(&mut self, from: usize, to: usize, input: &MembershipInput) {
        let copies = 1 + u64::from(self.rng.below(100) < self.network.duplicate_percent);
        for _ in 0..copies {
            if self.rng.below(100) < self.network.loss_percent {
                continue;
            }
            let delay = self.network.delay_us + self.rng.below(self.network.jitter_us + 1);
            let at = self.now + Duration::from_micros(delay);
            let input = Box::new(input.clone());
            self.schedule(at, Event::Deliver { to, from, input });
        }
    }

    fn answer_probe(&mut self, node: usize, target: TargetId, incarnation: u64) {
        let sim = self.targets.iter().find(|sim| sim.record.id() == target);
        let alive = sim.is_some_and(|sim| sim.alive && sim.record.incarnation == incarnation);
        // A dead target gives no answer at all; the instance applies its own probe
        // timeout.
        if alive {
            let input = MembershipInput::ProbeFinished {
                target,
                incarnation,
                alive,
            };
            let at = self.now + Duration::from_millis(5);
            self.schedule(
                at,
                Event::ProbeAnswered {
                    to: node,
                    input: Box::new(input),
                },
            );
        }
    }

    fn count_sent_bytes(&mut self, node: usize, bytes: usize) {
        self.sent_bytes[node] += u64::try_from(bytes).unwrap();
        let window = &mut self.windows[node];
        window.push_back((self.now, bytes));
        while window
            .front()
            .is_some_and(|(at, _)| self.now - *at > Duration::from_secs(1))
        {
            window.pop_front();
        }
        let sum: usize = window.iter().map(|(_, bytes)| bytes).sum();
        self.max_bytes_per_second = self.max_bytes_per_second.max(sum);
    }

    pub fn live(&self) -> impl Iterator<Item = &Membership> {
        self.nodes.iter().flatten()
    }

    /// Returns the number of instances that would send new work to the target.
    pub fn routing_instances(&self, target: usize) -> usize {
        let id = self.targets[target].record.id();
        let incarnation = self.targets[target].record.incarnation;
        self.live()
            .filter(|node| {
                node.target(id, self.now)
                    .is_some_and(|view| view.takes_work && view.record.incarnation == incarnation)
            })
            .count()
    }

    /// Runs until the condition holds; returns the virtual time that passed, or none
    /// when the limit was reached first.
    pub fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !condition(self) {
            if self.now - start >= limit {
                return None;
            }
            self.run_for(Duration::from_millis(10));
        }
        Some(self.now - start)
    }

    pub fn routers_agree(&self) -> bool {
        let live = self.live().count();
        let views: BTreeSet<_> = self.live().map(|node| node.routers().to_vec()).collect();
        views.len() == 1 && views.iter().all(|routers| routers.len() == live)
    }

    pub fn violations(&self) -> u64 {
        self.live().map(|node| node.counters().violations).sum()
    }
}
