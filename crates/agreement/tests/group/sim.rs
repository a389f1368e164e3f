//! Simulation of replicas with their disks and clocks, and of the network between
//! them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bamboospur_agreement::{
    AppendResult, DiskId, IdentityError, Input, LogIndex, Members, Message, MessageBody, Output,
    Persist, PersistedState, Replica, ReplicaSettings, Role, Ticket,
};
use bamboospur_types::{InstanceId, mix64};

use crate::disk::Disk;
use crate::oracle::Oracle;

pub struct Node {
    pub replica: Option<Replica>,
    pub settings: ReplicaSettings,
    pub disk: Disk,
    pub disk_lost: bool,
    /// Applied proposals.
    pub state: Vec<(LogIndex, Ticket)>,
    pub applied: LogIndex,
    pub compacted: LogIndex,
    pub identity: Option<IdentityError>,
    /// Number of starts; events of an earlier one are dropped.
    incarnation: u64,
    timer_us: u64,
    /// Speed of the local clock, in percent.
    clock_percent: u64,
}

enum Event {
    Deliver(InstanceId, InstanceId, Message),
    Synced(InstanceId, u64, u64),
    Timer(InstanceId, u64),
}

pub struct Sim {
    pub nodes: BTreeMap<InstanceId, Node>,
    pub oracle: Oracle,
    pub now_us: u64,
    /// Links that drop all messages, as sender and receiver.
    pub blocked_links: BTreeSet<(InstanceId, InstanceId)>,
    pub loss_percent: u64,
    pub sync_delay_us: u64,
    pub results: BTreeMap<Ticket, bool>,
    start: Instant,
    first_seed: u64,
    seed: u64,
    queue: BTreeMap<(u64, u64), Event>,
    events: u64,
    tickets: Ticket,
}

impl Sim {
    pub fn new(size: u64, seed: u64) -> Self {
        let mut sim = Self {
            nodes: BTreeMap::new(),
            oracle: Oracle::default(),
            now_us: 0,
            blocked_links: BTreeSet::new(),
            loss_percent: 0,
            sync_delay_us: 1000,
            results: BTreeMap::new(),
            start: Instant::now(),
            first_seed: seed,
            seed,
            queue: BTreeMap::new(),
            events: 0,
            tickets: 0,
        };
        let voters: Vec<_> = (1..=size).map(|id| (id, 1000 + id)).collect();
        let first = PersistedState::bootstrap(Members::from_voters(&voters));
        for &(id, disk) in &voters {
            sim.add(id, disk, &first.to_persist());
        }
        sim
    }

    pub fn random(&mut self, limit: u64) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix64(self.seed) % limit
    }

    pub fn add(&mut self, id: InstanceId, disk: DiskId, first: &Persist) {
        let settings = ReplicaSettings {
            id,
            disk,
            // Runs with even seeds elect without a time-out after starts.
            elects_at_start: self.first_seed.is_multiple_of(2),
            snapshot_chunk_bytes: 100,
            trailing_log_bytes: 200,
            max_append_bytes: 150,
            max_inflight_appends: 4,
            ..ReplicaSettings::default()
        };
        let mut node = Node {
            replica: None,
            settings,
            disk: Disk::default(),
            disk_lost: false,
            state: Vec::new(),
            applied: 0,
            compacted: 0,
            identity: None,
            incarnation: 0,
            timer_us: 0,
            clock_percent: 100,
        };
        node.disk.pending.push_back(first.clone());
        node.disk.sync(first.sequence);
        self.nodes.insert(id, node);
        self.start_node(id);
    }

    pub fn start_node(&mut self, id: InstanceId) {
        let now = self.local_now(id);
        let seed = self.random(u64::MAX);
        let node = self.nodes.get_mut(&id).unwrap();
        node.incarnation += 1;
        node.state.clear();
        node.applied = 0;
        let restored = node.disk.durable.clone();
        node.replica = Some(Replica::new(node.settings.clone(), restored, seed, now));
        self.input(id, Input::Tick);
    }

    pub fn crash(&mut self, id: InstanceId) {
        let kept = usize::try_from(self.random(4)).unwrap();
        let node = self.nodes.get_mut(&id).unwrap();
        node.replica = None;
        node.disk.crash(kept);
    }

    /// Sets the speed of the clock of a node, in percent.
    pub fn set_clock_percent(&mut self, id: InstanceId, percent: u64) {
        self.nodes.get_mut(&id).unwrap().clock_percent = percent;
    }

    fn local_now(&self, id: InstanceId) -> Instant {
        let percent = self.nodes[&id].clock_percent;
        // A change of speed makes the clock jump, also backwards, so it is made only
        // at time 0 or while the replica is stopped.
        self.start + Duration::from_micros(self.now_us * percent / 100)
    }

    pub fn input(&mut self, id: InstanceId, input: Input) {
        let now = self.local_now(id);
        let node = self.nodes.get_mut(&id).unwrap();
        let Some(replica) = &mut node.replica else {
            return;
        };
        for output in replica.handle(input, now) {
            self.output(id, output);
        }
        self.schedule_timer(id, now);
    }

    fn schedule_timer(&mut self, id: InstanceId, now: Instant) {
        let node = self.nodes.get_mut(&id).unwrap();
        let Some(replica) = &node.replica else {
            return;
        };
        let wait = replica.next_deadline().saturating_duration_since(now);
        let wait = u64::try_from(wait.as_micros()).unwrap() * 100 / node.clock_percent + 1;
        let at = self.now_us + wait;
        if node.timer_us != at {
            node.timer_us = at;
            let incarnation = node.incarnation;
            self.push(wait, Event::Timer(id, incarnation));
        }
    }

    fn push(&mut self, after_us: u64, event: Event) {
        self.events += 1;
        self.queue
            .insert((self.now_us + after_us, self.events), event);
    }

    fn output(&mut self, id: InstanceId, output: Output) {
        match output {
            Output::Persist(write) => {
                let delay = self.sync_delay_us / 2 + self.random(self.sync_delay_us + 1);
                let node = self.nodes.get_mut(&id).unwrap();
                let (incarnation, sequence) = (node.incarnation, write.sequence);
                node.disk.pending.push_back(write);
                self.push(delay, Event::Synced(id, incarnation, sequence));
            }
            Output::Send { to, message } => self.send(id, to, &message),
            Output::Apply { index, term, data } => {
                self.check_durable_on_quorum(id, index, term);
                self.oracle.record_applied(index, term, &data);
                let ticket = u64::from_le_bytes(data.try_into().unwrap());
                let node = self.nodes.get_mut(&id).unwrap();
                assert!(
                    index > node.applied,
                    "instance {id} applied index {index} twice"
                );
                node.applied = index;
                node.state.push((index, ticket));
            }
            Output::Restore { index, state } => self.restore(id, index, &state),
            Output::MembersChanged { index, .. } => {
                self.nodes.get_mut(&id).unwrap().applied = index;
            }
            Output::Done { ticket, result } => {
                self.results.insert(ticket, result.is_ok());
                let applied = self.nodes[&id]
                    .replica
                    .as_ref()
                    .unwrap()
                    .status()
                    .commit_index;
                self.oracle.record_result(ticket, &result, applied);
            }
            Output::LeaderChanged { term, leader } => {
                if let Some(leader) = leader {
                    self.oracle.record_leader(term, leader);
                }
            }
            Output::Identity(error) => {
                self.nodes.get_mut(&id).unwrap().identity = Some(error);
            }
            Output::Violation(violation) => panic!("instance {id}: {violation}"),
        }
    }

    fn restore(&mut self, id: InstanceId, index: LogIndex, state: &[u8]) {
        let word = |bytes: &[u8]| u64::from_le_bytes(bytes.try_into().unwrap());
        let pairs = state.chunks(16).map(|c| (word(&c[..8]), word(&c[8..])));
        let node = self.nodes.get_mut(&id).unwrap();
        node.state = pairs.collect();
        node.applied = index;
        node.compacted = index;
    }

    pub fn compact(&mut self, id: InstanceId) {
        let node = self.nodes.get_mut(&id).unwrap();
        let index = node.applied;
        let words = node.state.iter().flat_map(|&(i, t)| [i, t]);
        let state = words.flat_map(u64::to_le_bytes).collect();
        node.compacted = index;
        self.input(id, Input::Compact { index, state });
    }

    /// Checks that an entry applied by a leader is on the disks of a quorum of
    /// voters. A disk that was lost later counts, because it held the entry when
    /// it was acknowledged.
    fn check_durable_on_quorum(&self, id: InstanceId, index: LogIndex, term: u64) {
        let status = self.nodes[&id].replica.as_ref().unwrap().status();
        if status.role != Role::Leader {
            return;
        }
        let holds = |voter: &InstanceId| {
            let node = self.nodes.get(voter);
            node.is_some_and(|n| n.disk_lost || n.disk.holds(index, term))
        };
        let held = status.members.voters().filter(holds).count();
        assert!(
            held >= status.members.quorum(),
            "entry {index} was committed on {held} disks only"
        );
    }

    /// Checks that granted votes and acknowledged entries are on the sender's disk.
    fn check_synced_before_send(&self, id: InstanceId, to: InstanceId, message: &Message) {
        let node = &self.nodes[&id];
        let hard = node.disk.durable.hard_state;
        let is_durable = match message.body {
            MessageBody::VoteReply { granted: true } => {
                assert!(
                    !node.disk_lost,
                    "instance {id} granted a vote with a new disk"
                );
                hard.term > message.term || hard.vote == Some(to)
            }
            MessageBody::AppendReply(AppendResult::Matched { index }) => {
                assert!(
                    !node.disk_lost,
                    "instance {id} acknowledged entries with a new disk"
                );
                hard.term > message.term || node.disk.last_index() >= index
            }
            _ => true,
        };
        assert!(
            is_durable,
            "instance {id} sent a message before its sync: {message:?}"
        );
    }

    fn send(&mut self, from: InstanceId, to: InstanceId, message: &Message) {
        self.check_synced_before_send(from, to, message);
        if self.blocked_links.contains(&(from, to)) || self.random(100) < self.loss_percent {
            return;
        }
        let copies = 1 + u64::from(self.random(100) < self.loss_percent);
        for _ in 0..copies {
            let late = self.random(100) < self.loss_percent;
            let delay = 300 + self.random(if late { 300_000 } else { 700 });
            self.push(delay, Event::Deliver(from, to, message.clone()));
        }
    }

    /// Runs the simulation for a virtual time.
    pub fn run(&mut self, micros: u64) {
        let end = self.now_us + micros;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now_us = entry.key().0;
            match entry.remove() {
                Event::Deliver(from, to, message) => {
                    if self.nodes.contains_key(&to) && !self.blocked_links.contains(&(from, to)) {
                        self.input(to, Input::Message { from, message });
                    }
                }
                Event::Synced(id, incarnation, sequence) => self.synced(id, incarnation, sequence),
                Event::Timer(id, incarnation) => {
                    if self.nodes[&id].incarnation == incarnation {
                        self.input(id, Input::Tick);
                    }
                }
            }
        }
        self.now_us = end;
    }

    fn synced(&mut self, id: InstanceId, incarnation: u64, sequence: u64) {
        let node = self.nodes.get_mut(&id).unwrap();
        if node.incarnation == incarnation && node.replica.is_some() {
            node.disk.sync(sequence);
            self.input(id, Input::Synced { sequence });
        }
    }

    /// Returns the leader with the highest term.
    pub fn leader(&self) -> Option<InstanceId> {
        let replicas = self
            .nodes
            .iter()
            .filter_map(|(&id, n)| Some((id, n.replica.as_ref()?)));
        let statuses = replicas.map(|(id, r)| (id, r.status()));
        let leaders = statuses.filter(|(_, s)| s.role == Role::Leader);
        leaders.max_by_key(|(_, s)| s.term).map(|(id, _)| id)
    }

    pub fn propose(&mut self, id: InstanceId) -> Ticket {
        self.tickets += 1;
        let ticket = self.tickets;
        let data = ticket.to_le_bytes().to_vec();
        self.input(id, Input::Propose { ticket, data });
        ticket
    }

    pub fn read(&mut self, id: InstanceId) -> Ticket {
        self.tickets += 1;
        let ticket = self.tickets;
        self.oracle.record_read_start(ticket);
        self.input(id, Input::Read { ticket });
        ticket
    }

    pub fn isolate(&mut self, id: InstanceId) {
        let others: Vec<_> = self.nodes.keys().copied().filter(|&o| o != id).collect();
        for other in others {
            self.blocked_links.insert((id, other));
            self.blocked_links.insert((other, id));
        }
    }

    /// Proposes to leaders among `only` until a proposal is acknowledged or the
    /// limit is reached. Returns the elapsed virtual time in microseconds.
    pub fn run_until_commit(&mut self, limit_us: u64, only: &[InstanceId]) -> u64 {
        let started_us = self.now_us;
        let mut tickets = Vec::new();
        while self.now_us < started_us + limit_us {
            if let Some(leader) = self.leader().filter(|l| only.contains(l)) {
                tickets.push(self.propose(leader));
            }
            self.run(5_000);
            if tickets.iter().any(|t| self.results.get(t) == Some(&true)) {
                break;
            }
        }
        self.now_us - started_us
    }
}
