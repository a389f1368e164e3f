//! Groups in virtual time, with crashes, lost disks and cuts.
//!
//! What was acknowledged must be read back, whatever happens within the losses
//! that a group bears.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_agreement::{IdentityError, Members, Message, Persist, PersistedState};
use bamboospur_group::{Document, Group, GroupInput, GroupOutput, GroupSettings, Reply};
use bamboospur_types::{InstanceId, Rng};

const STEP: Duration = Duration::from_millis(5);
const SYNC_STEPS: u64 = 1;
const LINK_STEPS: u64 = 1;
/// Steps between two signs of life.
const ALIVE_STEPS: u64 = 100;

/// What a disk holds, with writes that are not synced yet.
#[derive(Default)]
struct Disk {
    synced: PersistedState,
    unsynced: VecDeque<(u64, Persist)>,
}

impl Disk {
    fn store(&mut self, persist: &Persist) {
        if let Some(hard) = persist.hard {
            self.synced.hard = hard;
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

struct World {
    nodes: Vec<Node>,
    step: u64,
    start: Instant,
    /// Messages under way: arrival, sender, receiver, content.
    mail: VecDeque<(u64, InstanceId, InstanceId, Message)>,
    cuts: BTreeSet<(usize, usize)>,
    tickets: u64,
    puts: BTreeMap<u64, Document>,
    /// Reads with the highest version that was acknowledged when they began.
    reads: BTreeMap<u64, u64>,
    accepted: BTreeMap<u64, Vec<u8>>,
    read_back: u64,
    next_id: InstanceId,
}

fn address(place: usize) -> SocketAddr {
    format!("10.0.0.{}:7000", place + 1)
        .parse()
        .expect("an address")
}

fn settings(id: InstanceId) -> GroupSettings {
    let mut settings = GroupSettings {
        snapshot_bytes: 400,
        ..GroupSettings::default()
    };
    settings.replica.id = id;
    settings.replica.disk = id;
    settings.replica.trailing_bytes = 200;
    settings
}

impl World {
    fn new(count: usize) -> Self {
        let founders: Vec<InstanceId> = (1..=3).collect();
        let voters: Vec<_> = founders.iter().map(|&id| (id, id)).collect();
        let mut world = Self {
            nodes: Vec::new(),
            step: 0,
            start: Instant::now(),
            mail: VecDeque::new(),
            cuts: BTreeSet::new(),
            tickets: 0,
            puts: BTreeMap::new(),
            reads: BTreeMap::new(),
            accepted: BTreeMap::new(),
            read_back: 0,
            next_id: 100,
        };
        for place in 0..count {
            let id = InstanceId::try_from(place + 1).expect("a small number");
            let mut disk = Disk::default();
            if founders.contains(&id) {
                disk.synced = PersistedState::bootstrap(Members::from_voters(&voters));
            }
            world.nodes.push(Node {
                id,
                address: address(place),
                group: None,
                disk,
            });
            world.boot(place);
        }
        world
    }

    fn now(&self) -> Instant {
        self.start + STEP * u32::try_from(self.step).expect("a short run")
    }

    fn boot(&mut self, place: usize) {
        let now = self.now();
        let node = &mut self.nodes[place];
        let seed = node.id * 7 + self.step;
        let restored = node.disk.synced.clone();
        node.group = Some(Group::new(settings(node.id), restored, seed, now));
        self.feed(place, GroupInput::Tick);
    }

    /// Writes that are not synced survive a kill, but not a loss of power.
    fn crash(&mut self, place: usize, power: bool) {
        let node = &mut self.nodes[place];
        node.group = None;
        let unsynced = std::mem::take(&mut node.disk.unsynced);
        if !power {
            for (_, persist) in unsynced {
                node.disk.store(&persist);
            }
        }
    }

    /// Another instance with an empty disk takes over the place.
    fn wipe(&mut self, place: usize) {
        self.crash(place, true);
        self.next_id += 1;
        let node = &mut self.nodes[place];
        node.id = self.next_id;
        node.disk = Disk::default();
    }

    fn feed(&mut self, place: usize, input: GroupInput) {
        let now = self.now();
        let Some(group) = &mut self.nodes[place].group else {
            return;
        };
        let outputs = group.handle(input, now);
        let document = group.document().clone();
        for output in outputs {
            match output {
                GroupOutput::Persist(persist) => {
                    let due = self.step + SYNC_STEPS;
                    self.nodes[place].disk.unsynced.push_back((due, persist));
                }
                GroupOutput::Send { to, message } => {
                    let from = self.nodes[place].id;
                    self.mail
                        .push_back((self.step + LINK_STEPS, from, to, message));
                }
                GroupOutput::Reply { ticket, reply } => self.replied(ticket, reply.ok(), &document),
                GroupOutput::Violation(message) => panic!("violation: {message}"),
                GroupOutput::Identity(problem) if problem != IdentityError::Retired => {
                    panic!("identity: {problem}")
                }
                // A voter that was replaced while it was away joins again.
                GroupOutput::Identity(_)
                | GroupOutput::Changed
                | GroupOutput::Leadership { .. }
                | GroupOutput::MembersChanged { .. } => {}
            }
        }
    }

    fn replied(&mut self, ticket: u64, reply: Option<Reply>, document: &Document) {
        let put = self.puts.remove(&ticket);
        let read = self.reads.remove(&ticket);
        match (reply, put, read) {
            (Some(Reply::Accepted { .. }), Some(put), _) => {
                // Whether this content or another one of the version is in force
                // shows when it is read.
                self.accepted.entry(put.version).or_default();
            }
            (Some(Reply::Newest { version }), _, Some(acknowledged)) => {
                assert!(
                    version >= acknowledged,
                    "read {version} after {acknowledged}"
                );
                let content = self.accepted.entry(version).or_default();
                if content.is_empty() {
                    content.clone_from(&document.content);
                }
                assert_eq!(
                    *content, document.content,
                    "the content of {version} changed"
                );
                self.read_back = self.read_back.max(version);
            }
            _ => {}
        }
    }

    fn place_of(&self, id: InstanceId) -> Option<usize> {
        self.nodes.iter().position(|n| n.id == id)
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        !self.cuts.contains(&(a, b))
    }

    fn advance(&mut self) {
        self.step += 1;
        for place in 0..self.nodes.len() {
            self.sync(place);
            let due = self.nodes[place].group.as_ref().map(Group::next_deadline);
            if due.is_some_and(|due| self.now() >= due) {
                self.feed(place, GroupInput::Tick);
            }
        }
        if self.step.is_multiple_of(ALIVE_STEPS) {
            self.alive();
        }
        while self.mail.front().is_some_and(|m| m.0 <= self.step) {
            let Some((_, from, to, message)) = self.mail.pop_front() else {
                break;
            };
            let places = self.place_of(from).zip(self.place_of(to));
            if let Some((a, b)) = places.filter(|&(a, b)| self.connected(a, b)) {
                let id = self.nodes[a].id;
                let address = self.nodes[a].address;
                self.feed(b, GroupInput::PeerSeen { id, address });
                self.feed(b, GroupInput::Message { from, message });
            }
        }
    }

    fn sync(&mut self, place: usize) {
        let step = self.step;
        let disk = &mut self.nodes[place].disk;
        let mut synced = None;
        while disk.unsynced.front().is_some_and(|w| w.0 <= step) {
            if let Some((_, persist)) = disk.unsynced.pop_front() {
                synced = Some(persist.sequence);
                disk.store(&persist);
            }
        }
        if let Some(sequence) = synced {
            self.feed(place, GroupInput::Synced { sequence });
        }
    }

    fn alive(&mut self) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if a != b && self.nodes[a].group.is_some() && self.connected(a, b) {
                    let (id, address) = (self.nodes[a].id, self.nodes[a].address);
                    self.feed(b, GroupInput::PeerSeen { id, address });
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let steps = time.as_millis() / STEP.as_millis();
        for _ in 0..steps {
            self.advance();
        }
    }

    fn put(&mut self, place: usize, version: u64, content: &str) {
        self.tickets += 1;
        let document = Document {
            version,
            content: content.as_bytes().to_vec(),
        };
        self.puts.insert(self.tickets, document.clone());
        let ticket = self.tickets;
        self.feed(place, GroupInput::Put { ticket, document });
    }

    fn read(&mut self, place: usize) {
        self.tickets += 1;
        let acknowledged = self.newest_accepted();
        self.reads.insert(self.tickets, acknowledged);
        self.feed(
            place,
            GroupInput::Read {
                ticket: self.tickets,
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

    /// Asserts that the newest acknowledged version is read within a time.
    fn expect_read_back(&mut self) {
        let acknowledged = self.newest_accepted();
        for _ in 0..20 {
            if let Some(leader) = self.leader() {
                self.read(leader);
            }
            self.run(Duration::from_millis(500));
            if self.read_back >= acknowledged && self.leader().is_some() {
                return;
            }
        }
        panic!(
            "version {acknowledged} was not read back, but {}",
            self.read_back
        );
    }

    fn voters(&self) -> usize {
        let leader = self.leader().expect("a leader");
        let group = self.nodes[leader].group.as_ref().expect("it runs");
        group.status().voters
    }
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn founders_form_a_group_and_accept_a_document() {
    let mut world = World::new(3);
    world.run(2 * SECOND);
    let leader = world.leader().expect("a leader");
    world.put(leader, 5, "five");
    world.run(SECOND);
    world.put(leader, 5, "other");
    world.put(leader, 3, "three");
    world.run(SECOND);
    world.expect_read_back();
    assert_eq!(world.accepted[&5], b"five");
}

#[test]
fn an_instance_that_lost_its_disk_is_replaced_by_its_successor_at_the_address() {
    let mut world = World::new(3);
    world.run(2 * SECOND);
    for place in 0..3 {
        let leader = world.leader().expect("a leader");
        world.put(leader, 10 + u64::try_from(place).expect("small"), "x");
        world.run(SECOND);
        world.wipe(place);
        world.run(Duration::from_millis(300));
        world.boot(place);
        world.run(5 * SECOND);
        assert_eq!(world.voters(), 3, "after place {place}");
        world.expect_read_back();
    }
}

#[test]
fn a_voter_that_is_away_keeps_its_place_without_a_successor() {
    let mut world = World::new(3);
    world.run(2 * SECOND);
    let leader = world.leader().expect("a leader");
    let follower = (leader + 1) % 3;
    world.crash(follower, false);
    world.run(8 * SECOND);
    assert_eq!(world.voters(), 3);
    // The group still bears the loss of another disk once the voter is back.
    world.boot(follower);
    world.run(2 * SECOND);
    world.put(leader, 4, "x");
    world.run(SECOND);
    world.wipe((leader + 2) % 3);
    world.run(SECOND);
    world.expect_read_back();
}

#[test]
fn larger_groups_have_five_voters_and_bear_two_lost_disks() {
    let mut world = World::new(6);
    world.run(8 * SECOND);
    assert_eq!(world.voters(), 5);
    let leader = world.leader().expect("a leader");
    world.put(leader, 9, "x");
    world.run(SECOND);
    world.wipe(leader);
    world.wipe((leader + 1) % 6);
    world.run(2 * SECOND);
    world.expect_read_back();
    world.boot(leader);
    world.boot((leader + 1) % 6);
    world.run(10 * SECOND);
    assert_eq!(world.voters(), 5);
}

/// One random history: crashes, cuts and changes; one disk is lost at a time, and
/// only when all other instances have had time to catch up.
fn random_history(seed: u64, count: usize) {
    let mut rng = Rng::new(seed);
    let mut world = World::new(count);
    world.run(6 * SECOND);
    let mut version = 1;
    let mut calm = 0;
    for _ in 0..60 {
        let place = rng.index(count);
        calm += 1;
        match rng.below(9) {
            0 => world.crash(place, false),
            1 => world.crash(place, true),
            2 => {
                let other = rng.index(count);
                world.cuts.insert((place, other));
                if rng.below(2) == 0 {
                    world.cuts.insert((other, place));
                }
            }
            3 => {
                for place in 0..count {
                    world.crash(place, rng.below(2) == 0);
                }
            }
            4 if calm > 30 => {
                heal(&mut world);
                world.run(6 * SECOND);
                world.wipe(place);
                calm = 0;
            }
            5 => heal(&mut world),
            _ => {
                version += rng.below(3);
                let text = format!("{version} {}", rng.below(1_000));
                world.put(place, version, &text);
            }
        }
        if let Some(leader) = world.leader() {
            world.read(leader);
        }
        world.run(Duration::from_millis(rng.below(900)));
    }
    heal(&mut world);
    world.run(6 * SECOND);
    world.expect_read_back();
}

fn heal(world: &mut World) {
    world.cuts.clear();
    for place in 0..world.nodes.len() {
        if world.nodes[place].group.is_none() {
            world.boot(place);
        }
    }
}

#[test]
fn random_histories_lose_nothing() {
    for seed in 1..=40 {
        random_history(seed, 3);
        random_history(seed, 6);
    }
}
