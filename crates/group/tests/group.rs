//! Runs groups in simulated time with crashes, lost disks and cut connections.
//! Guards against the loss of an acknowledged document or evacuation, against a change of
//! a document's content, and against an old order that undoes a newer one, under every
//! failure that a group tolerates.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_agreement::{IdentityError, Members, Message, Persist, PersistedState};
use bamboospur_group::{
    Document, FleetChange, Group, GroupInput, GroupOutput, GroupSettings, Reply, ServiceSoftware,
};
use bamboospur_types::{InstanceId, Rng, mix64};

const STEP: Duration = Duration::from_millis(5);
/// Steps from a write to its sync.
const SYNC_STEPS: u64 = 1;
/// Steps from sending a message to its arrival.
const LINK_STEPS: u64 = 1;
/// Steps between two heartbeats of an instance.
const HEARTBEAT_STEPS: u64 = 100;

/// State on a disk, and writes that are not synced yet.
#[derive(Default)]
struct Disk {
    synced: PersistedState,
    /// Step at which a write is synced, and the write.
    unsynced: VecDeque<(u64, Persist)>,
}

impl Disk {
    fn store(&mut self, persist: &Persist) {
        if let Some(hard) = persist.hard_state {
            self.synced.hard_state = hard;
        }
        if let Some(snapshot) = &persist.snapshot {
            self.synced.entries.retain(|e| e.index > snapshot.index);
            self.synced.snapshot = Some(snapshot.clone());
        }
        if persist.clear_log {
            self.synced.entries.clear();
        }
        if let Some(first) = persist.entries.first() {
            self.synced.entries.retain(|e| e.index < first.index);
            self.synced.entries.extend(persist.entries.iter().cloned());
        }
    }
}

struct Node {
    id: InstanceId,
    address: SocketAddr,
    group: Option<Group>,
    disk: Disk,
}

struct Cluster {
    nodes: Vec<Node>,
    step: u64,
    start: Instant,
    /// Step of arrival, sender, receiver and message.
    messages_in_flight: VecDeque<(u64, InstanceId, InstanceId, Message)>,
    /// Sender and receiver of each direction that drops messages.
    cut_links: BTreeSet<(usize, usize)>,
    last_ticket: u64,
    puts: BTreeMap<u64, Document>,
    /// Highest version that was acknowledged when a read began, by the read's
    /// ticket.
    reads: BTreeMap<u64, u64>,
    /// Content of each accepted version; empty until the version is read.
    accepted: BTreeMap<u64, Vec<u8>>,
    highest_read_version: u64,
    next_id: InstanceId,
    operator: Operator,
}

/// Operator who evacuates a data centre and takes that back by turns. An order is repeated at
/// any instance until it is acknowledged.
#[derive(Default)]
struct Operator {
    /// Tickets of the copies of the current order.
    tickets: BTreeSet<u64>,
    /// What the current order asks for.
    evacuated: bool,
    is_acknowledged: bool,
    /// Reads that began after the order was acknowledged.
    reads: BTreeSet<u64>,
    /// Orders that were sent, some of which arrive again much later.
    sent: Vec<FleetChange>,
    acknowledged_count: usize,
}

const DATA_CENTRE: &str = "north";

fn address(index: usize) -> SocketAddr {
    format!("10.0.0.{}:7000", index + 1)
        .parse()
        .expect("an address")
}

/// Text of a version that shares most of its routes with every other version, so that
/// the log holds patches.
fn text(version: u64, content: &str) -> String {
    let mut lines: Vec<String> = (0..60)
        .map(|route| {
            format!(
                "route {} of the service {}",
                mix64(route),
                mix64(route + 100)
            )
        })
        .collect();
    lines.insert(
        usize::try_from(version % 60).expect("a small number"),
        content.to_owned(),
    );
    lines.join("\n")
}

fn settings(id: InstanceId) -> GroupSettings {
    let mut settings = GroupSettings {
        snapshot_bytes: 400,
        ..GroupSettings::default()
    };
    settings.replica.id = id;
    settings.replica.disk = id;
    settings.replica.trailing_log_bytes = 200;
    settings
}

impl Cluster {
    fn new(count: usize) -> Self {
        let founders: Vec<InstanceId> = (1..=3).collect();
        let voters: Vec<_> = founders.iter().map(|&id| (id, id)).collect();
        let mut cluster = Self {
            nodes: Vec::new(),
            step: 0,
            start: Instant::now(),
            messages_in_flight: VecDeque::new(),
            cut_links: BTreeSet::new(),
            last_ticket: 0,
            puts: BTreeMap::new(),
            reads: BTreeMap::new(),
            accepted: BTreeMap::new(),
            highest_read_version: 0,
            operator: Operator::default(),
            next_id: 100,
        };
        for index in 0..count {
            let id = InstanceId::try_from(index + 1).expect("a small number");
            let mut disk = Disk::default();
            if founders.contains(&id) {
                disk.synced = PersistedState::bootstrap(Members::from_voters(&voters));
            }
            cluster.nodes.push(Node {
                id,
                address: address(index),
                group: None,
                disk,
            });
            cluster.start_node(index);
        }
        cluster
    }

    fn now(&self) -> Instant {
        self.start + STEP * u32::try_from(self.step).expect("a short run")
    }

    fn start_node(&mut self, index: usize) {
        let now = self.now();
        let node = &mut self.nodes[index];
        let seed = node.id * 7 + self.step;
        let restored = node.disk.synced.clone();
        node.group = Some(Group::new(settings(node.id), restored, seed, now));
        self.feed(index, GroupInput::Tick);
    }

    /// Stops a node. Unsynced writes survive the end of the process, but not a
    /// power loss.
    fn crash(&mut self, index: usize, power_loss: bool) {
        let node = &mut self.nodes[index];
        node.group = None;
        let unsynced = std::mem::take(&mut node.disk.unsynced);
        if !power_loss {
            for (_, persist) in unsynced {
                node.disk.store(&persist);
            }
        }
    }

    /// Stops a node and replaces it by a new instance with an empty disk at the
    /// same address.
    fn replace_with_new_instance(&mut self, index: usize) {
        self.crash(index, true);
        self.next_id += 1;
        let node = &mut self.nodes[index];
        node.id = self.next_id;
        node.disk = Disk::default();
    }

    fn feed(&mut self, index: usize, input: GroupInput) {
        let now = self.now();
        let Some(group) = &mut self.nodes[index].group else {
            return;
        };
        let outputs = group.handle(input, now);
        let document = group.document().clone();
        let evacuated = group.fleet().is_evacuated(DATA_CENTRE);
        for output in outputs {
            match output {
                GroupOutput::Persist(persist) => {
                    let due = self.step + SYNC_STEPS;
                    self.nodes[index].disk.unsynced.push_back((due, persist));
                }
                GroupOutput::Send { to, message } => {
                    let from = self.nodes[index].id;
                    self.messages_in_flight
                        .push_back((self.step + LINK_STEPS, from, to, message));
                }
                GroupOutput::Reply { ticket, reply } => {
                    self.check_order_reply(ticket, reply.ok(), evacuated);
                    self.check_reply(ticket, reply.ok(), &document);
                }
                GroupOutput::Violation(message) => panic!("violation: {message}"),
                GroupOutput::Identity(problem) if problem != IdentityError::Retired => {
                    panic!("identity: {problem}")
                }
                // A voter that was replaced while it was unreachable gets
                // `Retired` and joins again.
                GroupOutput::Identity(_)
                | GroupOutput::LeaderChanged { .. }
                | GroupOutput::MembersChanged { .. } => {}
            }
        }
    }

    fn check_reply(&mut self, ticket: u64, reply: Option<Reply>, document: &Document) {
        let put = self.puts.remove(&ticket);
        let read = self.reads.remove(&ticket);
        match (reply, put, read) {
            (Some(Reply::Accepted { .. }), Some(put), _) => {
                // Another content of this version may have been accepted first;
                // the next read shows which one.
                self.accepted.entry(put.version).or_default();
            }
            (Some(Reply::Newest { version }), _, Some(acknowledged)) => {
                assert!(
                    version >= acknowledged,
                    "read {version} after {acknowledged}"
                );
                let content = self.accepted.entry(version).or_default();
                if content.is_empty() {
                    *content = document.text().to_vec();
                }
                assert_eq!(content, document.text(), "the content of {version} changed");
                self.highest_read_version = self.highest_read_version.max(version);
            }
            _ => {}
        }
    }

    fn check_order_reply(&mut self, ticket: u64, reply: Option<Reply>, evacuated: bool) {
        let operator = &mut self.operator;
        let is_order = operator.tickets.remove(&ticket);
        let is_read = operator.reads.remove(&ticket);
        if is_order && reply.is_some() && !operator.is_acknowledged {
            operator.is_acknowledged = true;
            operator.acknowledged_count += 1;
        }
        if is_read && matches!(reply, Some(Reply::Newest { .. })) {
            assert_eq!(
                evacuated, operator.evacuated,
                "an acknowledged order is not in force"
            );
        }
    }

    /// Sends the next order, or repeats one without an answer, at an instance.
    fn order(&mut self, index: usize) {
        let Some(group) = &self.nodes[index].group else {
            return;
        };
        let base = group.fleet().evacuation_revision(DATA_CENTRE);
        if self.operator.is_acknowledged {
            let evacuated = !self.operator.evacuated;
            self.operator.evacuated = evacuated;
            self.operator.is_acknowledged = false;
            self.operator.tickets.clear();
            self.operator.reads.clear();
        }
        let change = FleetChange::Evacuate {
            data_centre: DATA_CENTRE.to_owned(),
            evacuated: self.operator.evacuated,
            base,
        };
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.operator.tickets.insert(ticket);
        self.operator.sent.push(change.clone());
        self.feed(index, GroupInput::ChangeFleet { ticket, change });
    }

    /// Delivers a copy of an order that another instance forwarded long ago.
    fn repeat_old_order(&mut self, index: usize, random: usize) {
        let count = self.operator.sent.len();
        if count > 0 {
            self.last_ticket += 1;
            let ticket = self.last_ticket;
            let change = self.operator.sent[random % count].clone();
            self.feed(index, GroupInput::ChangeFleet { ticket, change });
        }
    }

    fn index_of(&self, id: InstanceId) -> Option<usize> {
        self.nodes.iter().position(|n| n.id == id)
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        !self.cut_links.contains(&(a, b))
    }

    fn advance(&mut self) {
        self.step += 1;
        for index in 0..self.nodes.len() {
            self.sync(index);
            let due = self.nodes[index].group.as_ref().map(Group::next_deadline);
            if due.is_some_and(|due| self.now() >= due) {
                self.feed(index, GroupInput::Tick);
            }
        }
        if self.step.is_multiple_of(HEARTBEAT_STEPS) {
            self.deliver_heartbeats();
        }
        while self
            .messages_in_flight
            .front()
            .is_some_and(|m| m.0 <= self.step)
        {
            let Some((_, from, to, message)) = self.messages_in_flight.pop_front() else {
                break;
            };
            let indexes = self.index_of(from).zip(self.index_of(to));
            if let Some((a, b)) = indexes.filter(|&(a, b)| self.connected(a, b)) {
                let id = self.nodes[a].id;
                let address = self.nodes[a].address;
                self.feed(b, GroupInput::PeerSeen { id, address });
                self.feed(b, GroupInput::Message { from, message });
            }
        }
    }

    fn sync(&mut self, index: usize) {
        let step = self.step;
        let disk = &mut self.nodes[index].disk;
        let mut synced = None;
        while disk.unsynced.front().is_some_and(|w| w.0 <= step) {
            if let Some((_, persist)) = disk.unsynced.pop_front() {
                synced = Some(persist.sequence);
                disk.store(&persist);
            }
        }
        if let Some(sequence) = synced {
            self.feed(index, GroupInput::Synced { sequence });
        }
    }

    fn deliver_heartbeats(&mut self) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if a != b && self.nodes[a].group.is_some() && self.connected(a, b) {
                    let (id, address) = (self.nodes[a].id, self.nodes[a].address);
                    self.feed(b, GroupInput::PeerSeen { id, address });
                }
            }
        }
    }

    fn run(&mut self, duration: Duration) {
        let steps = duration.as_millis() / STEP.as_millis();
        for _ in 0..steps {
            self.advance();
        }
    }

    fn put(&mut self, index: usize, version: u64, content: &str) {
        self.last_ticket += 1;
        let document = Document::new(version, text(version, content).as_bytes());
        self.puts.insert(self.last_ticket, document.clone());
        let ticket = self.last_ticket;
        self.feed(index, GroupInput::Put { ticket, document });
    }

    fn read(&mut self, index: usize) {
        self.last_ticket += 1;
        let acknowledged = self.newest_accepted();
        self.reads.insert(self.last_ticket, acknowledged);
        if self.operator.is_acknowledged {
            self.operator.reads.insert(self.last_ticket);
        }
        self.feed(
            index,
            GroupInput::Read {
                ticket: self.last_ticket,
            },
        );
    }

    fn newest_accepted(&self) -> u64 {
        self.accepted.keys().max().copied().unwrap_or(0)
    }

    fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| n.group.as_ref().is_some_and(|g| g.leader() == Some(n.id));
        self.nodes.iter().position(leads)
    }

    /// Asserts that the newest acknowledged version can be read within 10 s.
    fn expect_read_back(&mut self) {
        let acknowledged = self.newest_accepted();
        for _ in 0..20 {
            if let Some(leader) = self.leader() {
                self.read(leader);
            }
            self.run(Duration::from_millis(500));
            if self.highest_read_version >= acknowledged && self.leader().is_some() {
                return;
            }
        }
        panic!(
            "version {acknowledged} was acknowledged, but the highest version read is {}",
            self.highest_read_version
        );
    }

    fn voters(&self) -> usize {
        let leader = self.leader().expect("a leader");
        let group = self.nodes[leader]
            .group
            .as_ref()
            .expect("the leader is running");
        group.status().voters
    }
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn founders_form_a_group_and_accept_a_document() {
    let mut cluster = Cluster::new(3);
    cluster.run(2 * SECOND);
    let leader = cluster.leader().expect("a leader");
    cluster.put(leader, 5, "five");
    cluster.run(SECOND);
    cluster.put(leader, 5, "other");
    cluster.put(leader, 3, "three");
    cluster.run(SECOND);
    cluster.expect_read_back();
    assert_eq!(cluster.accepted[&5], text(5, "five").into_bytes());
}

#[test]
fn a_voter_that_lost_its_disk_is_replaced_by_the_new_instance_at_its_address() {
    let mut cluster = Cluster::new(3);
    cluster.run(2 * SECOND);
    for index in 0..3 {
        let leader = cluster.leader().expect("a leader");
        cluster.put(leader, 10 + u64::try_from(index).expect("small"), "x");
        cluster.run(SECOND);
        cluster.replace_with_new_instance(index);
        cluster.run(Duration::from_millis(300));
        cluster.start_node(index);
        cluster.run(5 * SECOND);
        assert_eq!(cluster.voters(), 3, "after the replacement of node {index}");
        cluster.expect_read_back();
    }
}

#[test]
fn an_unreachable_voter_stays_a_voter_without_a_replacement() {
    let mut cluster = Cluster::new(3);
    cluster.run(2 * SECOND);
    let leader = cluster.leader().expect("a leader");
    let follower = (leader + 1) % 3;
    cluster.crash(follower, false);
    cluster.run(8 * SECOND);
    assert_eq!(cluster.voters(), 3);
    // With the voter back, the group tolerates the loss of another disk.
    cluster.start_node(follower);
    cluster.run(2 * SECOND);
    cluster.put(leader, 4, "x");
    cluster.run(SECOND);
    cluster.replace_with_new_instance((leader + 2) % 3);
    cluster.run(SECOND);
    cluster.expect_read_back();
}

#[test]
fn larger_groups_have_five_voters_and_tolerate_two_lost_disks() {
    let mut cluster = Cluster::new(6);
    cluster.run(8 * SECOND);
    assert_eq!(cluster.voters(), 5);
    let leader = cluster.leader().expect("a leader");
    cluster.put(leader, 9, "x");
    cluster.run(SECOND);
    cluster.replace_with_new_instance(leader);
    cluster.replace_with_new_instance((leader + 1) % 6);
    cluster.run(2 * SECOND);
    cluster.expect_read_back();
    cluster.start_node(leader);
    cluster.start_node((leader + 1) % 6);
    cluster.run(10 * SECOND);
    assert_eq!(cluster.voters(), 5);
}

/// Runs one random sequence of crashes, cut connections and new documents. One
/// disk is lost at a time, and only after all instances had time to catch up. Returns the
/// number of acknowledged evacuations and returns.
fn random_history(seed: u64, count: usize) -> usize {
    let mut rng = Rng::new(seed);
    let mut cluster = Cluster::new(count);
    cluster.run(6 * SECOND);
    let mut version = 1;
    let mut events_since_disk_loss = 0;
    for _ in 0..60 {
        let index = rng.index(count);
        events_since_disk_loss += 1;
        match rng.below(13) {
            0 => cluster.crash(index, false),
            1 => cluster.crash(index, true),
            2 => {
                let other_index = rng.index(count);
                cluster.cut_links.insert((index, other_index));
                if rng.below(2) == 0 {
                    cluster.cut_links.insert((other_index, index));
                }
            }
            3 => {
                for index in 0..count {
                    cluster.crash(index, rng.below(2) == 0);
                }
            }
            4 if events_since_disk_loss > 30 => {
                reconnect_and_restart(&mut cluster);
                cluster.run(6 * SECOND);
                cluster.replace_with_new_instance(index);
                events_since_disk_loss = 0;
            }
            5 => reconnect_and_restart(&mut cluster),
            6..=7 => cluster.order(index),
            8 => cluster.order(cluster.leader().unwrap_or(index)),
            9 => {
                let leader = cluster.leader().unwrap_or(index);
                cluster.repeat_old_order(leader, rng.index(1_000));
            }
            _ => {
                version += rng.below(3);
                let text = format!("{version} {}", rng.below(1_000));
                cluster.put(index, version, &text);
            }
        }
        if let Some(leader) = cluster.leader() {
            cluster.read(leader);
        }
        cluster.run(Duration::from_millis(rng.below(900)));
    }
    reconnect_and_restart(&mut cluster);
    cluster.run(6 * SECOND);
    cluster.expect_read_back();
    cluster.operator.acknowledged_count
}

fn reconnect_and_restart(cluster: &mut Cluster) {
    cluster.cut_links.clear();
    for index in 0..cluster.nodes.len() {
        if cluster.nodes[index].group.is_none() {
            cluster.start_node(index);
        }
    }
}

#[test]
fn random_histories_lose_no_acknowledged_document() {
    let histories = (1..=40).flat_map(|seed| [(seed, 3), (seed, 6)]);
    let orders: usize = histories
        .map(|(seed, count)| random_history(seed, count))
        .sum();
    assert!(orders > 200, "{orders} acknowledged orders");
}

#[test]
fn the_state_of_the_fleet_survives_a_snapshot_and_new_disks() {
    let mut cluster = Cluster::new(3);
    cluster.run(6 * SECOND);
    let software = |software: &str| ServiceSoftware {
        service: "chat".to_owned(),
        software: software.to_owned(),
    };
    let change = |cluster: &mut Cluster, change| {
        let leader = cluster.leader().expect("a leader");
        cluster.last_ticket += 1;
        let ticket = cluster.last_ticket;
        cluster.feed(leader, GroupInput::ChangeFleet { ticket, change });
    };
    change(&mut cluster, FleetChange::Found);
    let added = ["v1", "v2"].map(software).into();
    change(&mut cluster, FleetChange::AddSoftware(added));
    for version in 1..400 {
        let leader = cluster.leader().expect("a leader");
        cluster.put(leader, version, &"x".repeat(4_000));
        cluster.run(Duration::from_millis(20));
    }
    change(
        &mut cluster,
        FleetChange::RemoveSoftware([software("v1")].into()),
    );
    // Too late: there is a document.
    change(&mut cluster, FleetChange::Found);
    cluster.run(SECOND);
    for index in 0..3 {
        cluster.replace_with_new_instance(index);
        cluster.start_node(index);
        cluster.run(10 * SECOND);
    }
    for node in &cluster.nodes {
        let fleet = node.group.as_ref().expect("a running instance").fleet();
        assert_eq!(fleet.software(), &[software("v2")].into());
        assert!(fleet.has_all_software());
        assert_eq!(fleet.revision(), 3);
    }
}
