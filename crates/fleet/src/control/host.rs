//! The task that owns the state of a control instance.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use bamboospur_group::{
    Document, Group, GroupInput, GroupOutput, GroupSettings, Reply, Unavailable,
};
use bamboospur_platform::settings::ProcessSettings;
use bamboospur_registry::{Announcement, Merge, Phase, Registry, RegistrySettings};
use bamboospur_types::{InstanceId, stable_id};
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::time::sleep_until;
use tracing::{error, info, warn};

use super::disk::{self, Write};
use super::event::{Event, LinkId, PutResult};
use super::loads::Loads;
use super::operators::{Waiter, Waiters};
use super::peers::Peers;
use super::soft::{SoftSchedule, SoftState};
use crate::link::{Frame, Hello, LinkEvent, Ticket};

/// Time between two signs of life to peers, and between batches of reports.
const ROUND: Duration = Duration::from_millis(500);
/// Time between two sums of the routers' loads.
const LOADS_ROUND: Duration = Duration::from_millis(250);
/// Reports of a target that may be missed before it counts as silent.
const MISSED_REPORTS: u32 = 5;
/// Places of cached prompts that are kept for routers that start.
const MAX_HOMES: usize = 4_096;

struct AcceptedLink {
    hello: Hello,
    frames: Sender<Frame>,
}

/// State of a control instance.
pub struct Host {
    id: InstanceId,
    group_settings: GroupSettings,
    group: Group,
    registry: Registry,
    writes: std::sync::mpsc::Sender<Write>,
    soft: SoftSchedule,
    peers: Peers,
    links: BTreeMap<LinkId, AcceptedLink>,
    waiters: Waiters,
    /// Announcements since the last round that peers have not been sent.
    unsent: BTreeMap<String, Announcement>,
    /// Targets that routers were told are silent.
    silent: BTreeSet<String>,
    /// Newest places of cached prompts, oldest first.
    homes: VecDeque<(u64, u64)>,
    /// Version that routers were told last.
    published: u64,
    loads: Loads,
    loads_at: Instant,
    round_at: Instant,
}

impl Host {
    /// Opens the data folder and starts the replica.
    pub fn start(settings: &ProcessSettings, events: Sender<Event>) -> Result<Self, String> {
        let now = Instant::now();
        let founder = |address: &std::net::SocketAddr| stable_id(&format!("founder {address}"));
        let founders: Vec<InstanceId> = settings.seeds.iter().map(founder).collect();
        let is_founder = settings.first_start && settings.seeds.contains(&settings.links);
        let own = is_founder.then(|| founder(&settings.links));
        let path = settings
            .data_folder
            .as_ref()
            .ok_or("the settings name no data folder")?;
        let opened = disk::open(path, own, &founders, events.clone())?;
        let mut group_settings = GroupSettings::default();
        group_settings.replica.id = opened.id;
        group_settings.replica.disk = opened.id;
        let silence = settings.report_period * MISSED_REPORTS;
        info!(id = opened.id, founder = is_founder, "data folder opened");
        let mut registry = Registry::new(RegistrySettings {
            silence,
            ..RegistrySettings::default()
        });
        let soft = SoftState::decode(opened.soft);
        info!(
            targets = soft.targets.len(),
            homes = soft.homes.len(),
            "soft state read"
        );
        for announcement in soft.targets {
            registry.merge(announcement, now);
        }
        Ok(Self {
            id: opened.id,
            group: Group::new(
                group_settings.clone(),
                opened.restored,
                seed(opened.id),
                now,
            ),
            group_settings,
            registry,
            writes: opened.writes,
            soft: SoftSchedule::new(now),
            peers: Peers::new(opened.id, settings.links, &settings.seeds, events),
            links: BTreeMap::new(),
            waiters: Waiters::default(),
            unsent: BTreeMap::new(),
            silent: BTreeSet::new(),
            homes: soft.homes.into(),
            published: 0,
            loads: Loads::default(),
            loads_at: now + LOADS_ROUND,
            round_at: now + ROUND,
        })
    }

    /// Handles events until all senders are gone.
    pub async fn run(mut self, mut events: Receiver<Event>) {
        self.feed(GroupInput::Tick);
        loop {
            let rounds = self.round_at.min(self.loads_at);
            let deadline = self.group.next_deadline().min(rounds);
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                () = sleep_until(deadline.into()) => self.tick(),
            }
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if now >= self.group.next_deadline() {
            self.feed(GroupInput::Tick);
        }
        if now >= self.loads_at {
            self.loads_at = now + LOADS_ROUND;
            self.exchange_loads(now);
        }
        if now >= self.round_at {
            self.round_at = now + ROUND;
            self.round(now);
        }
    }

    fn exchange_loads(&mut self, now: Instant) {
        self.loads.drop_old(now);
        if !self.loads.has_routers() {
            return;
        }
        self.peers.send_to_all(&Frame::Loads(self.loads.own_sums()));
        let totals = Frame::Totals(self.loads.totals());
        let loads = &self.loads;
        let told = self
            .links
            .values()
            .filter(|link| loads.has_router(link.hello.id));
        for link in told {
            // A router that misses totals gets the next ones.
            let _sent = link.frames.try_send(totals.clone());
        }
    }

    fn round(&mut self, now: Instant) {
        self.waiters.drop_old(now);
        self.peers.forget_old(now);
        self.registry.forget_old(now);
        let batch: Vec<Announcement> = std::mem::take(&mut self.unsent).into_values().collect();
        if !batch.is_empty() {
            self.peers.send_to_all(&Frame::Targets(batch));
        }
        self.peers.send_to_all(&Frame::Alive(0));
        self.find_silent(now);
        self.keep_soft_state(now);
    }

    fn keep_soft_state(&mut self, now: Instant) {
        if !self.soft.take_due(now) {
            return;
        }
        let state = SoftState {
            targets: self.registry.all().cloned().collect(),
            homes: self.homes.iter().copied().collect(),
        };
        if let Some(blob) = state.encode()
            && self.writes.send(Write::Soft(blob)).is_err()
        {
            error!("the disk thread has ended");
        }
    }

    /// Tells routers of targets that went silent. An instance without a leader
    /// may be cut off from those that hear the targets, so it tells nothing.
    fn find_silent(&mut self, now: Instant) {
        if self.group.leader().is_none() {
            return;
        }
        let silent: Vec<Announcement> = self.registry.silent(now).cloned().collect();
        let news = silent.iter().filter(|a| !self.silent.contains(&a.name));
        let news: Vec<Announcement> = news.cloned().collect();
        self.silent = silent.into_iter().map(|a| a.name).collect();
        if !news.is_empty() {
            let names: Vec<&str> = news.iter().map(|a| a.name.as_str()).collect();
            info!(?names, "targets are silent");
            self.send_to_routers(&Frame::Silent(news));
        }
    }

    fn handle(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Report {
                announcement,
                taken,
            } => {
                self.merge(vec![announcement], true, now);
                // The target may have given up waiting.
                let _told = taken.send(());
            }
            Event::Leave { name, start, taken } => {
                if let Some(gone) = self.registry.leave(&name, start, now) {
                    self.publish(vec![gone.clone()]);
                    self.unsent.insert(name, gone);
                }
                let _told = taken.send(());
            }
            Event::Put { document, result } => {
                self.request(Waiter::Put { result, document }, now);
            }
            Event::Get { result } => self.request(Waiter::Get { result }, now),
            Event::Opened {
                link,
                hello,
                frames,
            } => self.opened(link, hello, frames, now),
            Event::Received { link, frame } => self.received(link, frame, now),
            Event::Ended { link } => {
                self.links.remove(&link);
            }
            Event::Dialed(event) => self.dialed(event),
            Event::Synced { sequence } => self.feed(GroupInput::Synced { sequence }),
            Event::DiskFailed => self.feed(GroupInput::DiskFailed),
            Event::DiskReopened(restored) => {
                let settings = self.group_settings.clone();
                self.group = Group::new(settings, *restored, seed(self.id), now);
                self.feed(GroupInput::Tick);
            }
            Event::Seeds(seeds) => self.peers.set_seeds(&seeds),
            Event::Stop => self.feed(GroupInput::Transfer),
        }
    }

    /// Takes announcements. `direct` ones came from the targets themselves and
    /// are passed on to peers.
    fn merge(&mut self, announcements: Vec<Announcement>, direct: bool, now: Instant) {
        let mut news = Vec::new();
        for announcement in announcements {
            let merge = self.registry.merge(announcement.clone(), now);
            if merge == Merge::Old {
                continue;
            }
            if direct {
                self.unsent
                    .insert(announcement.name.clone(), announcement.clone());
            }
            if merge == Merge::News {
                info!(
                    target_name = announcement.name,
                    start = announcement.start.0,
                    sequence = announcement.sequence,
                    phase = %announcement.phase,
                    service = announcement.service,
                    address = %announcement.address,
                    direct,
                    "target changed"
                );
                news.push(announcement);
            }
        }
        if direct && !news.is_empty() {
            self.peers.send_to_all(&Frame::Targets(news.clone()));
        }
        self.publish(news);
    }

    /// Tells routers of changed targets.
    fn publish(&mut self, news: Vec<Announcement>) {
        if !news.is_empty() {
            for announcement in &news {
                self.silent.remove(&announcement.name);
                match announcement.phase {
                    Phase::Ready => self.soft.changed(),
                    Phase::Draining | Phase::Gone => self.soft.departed(),
                }
            }
            self.keep_soft_state(Instant::now());
            self.send_to_routers(&Frame::Targets(news));
        }
    }

    /// Sends a configuration to the routers that tell their loads here. The
    /// others get it from the instance that they tell, or ask for it.
    fn publish_config(&mut self, frame: &Frame) {
        let told = |link: &AcceptedLink| self.loads.has_router(link.hello.id);
        let ids = self
            .links
            .iter()
            .filter(|(_, link)| told(link))
            .map(|(&id, _)| id);
        let ids: Vec<LinkId> = ids.collect();
        self.send_to(ids, frame);
    }

    /// Passes on where prompts are cached, and keeps it for routers that start.
    fn pass_on_homes(&mut self, from: LinkId, homes: Vec<(u64, u64)>) {
        self.homes.extend(homes.iter().copied());
        let excess = self.homes.len().saturating_sub(MAX_HOMES);
        self.homes.drain(..excess);
        self.soft.changed();
        self.send_to_routers_but(Some(from), &Frame::Homes(homes));
    }

    fn send_to_routers(&mut self, frame: &Frame) {
        self.send_to_routers_but(None, frame);
    }

    fn send_to_routers_but(&mut self, but: Option<LinkId>, frame: &Frame) {
        let is_router = |link: &AcceptedLink| link.hello.address.is_none();
        let links = self
            .links
            .iter()
            .filter(|&(&id, link)| is_router(link) && but != Some(id));
        let ids: Vec<LinkId> = links.map(|(&id, _)| id).collect();
        self.send_to(ids, frame);
    }

    /// Closes links that have no room, which makes a router start from the
    /// present state.
    fn send_to(&mut self, ids: Vec<LinkId>, frame: &Frame) {
        for id in ids {
            let link = self.links.get(&id);
            if link.is_some_and(|link| link.frames.try_send(frame.clone()).is_err()) {
                warn!(link = id, "a router reads too slowly; its link is closed");
                self.links.remove(&id);
            }
        }
    }

    fn opened(&mut self, link: LinkId, hello: Hello, frames: Sender<Frame>, now: Instant) {
        let accepted = AcceptedLink { hello, frames };
        if let Some(address) = hello.address {
            self.heard(hello.id, address, now);
        } else {
            self.greet(&accepted.frames, now);
        }
        info!(
            link,
            peer = hello.id,
            control = hello.address.is_some(),
            "a link opened"
        );
        self.links.insert(link, accepted);
    }

    /// Sends the present state to a router.
    fn greet(&self, frames: &Sender<Frame>, now: Instant) {
        let all = self.registry.all().cloned().collect();
        let state = [
            Frame::Controls(self.peers.recent(now)),
            Frame::Targets(all),
            Frame::Homes(self.homes.iter().copied().collect()),
        ];
        for frame in state {
            // The queue of a new link has room.
            let _sent = frames.try_send(frame);
        }
    }

    fn heard(&mut self, id: InstanceId, address: std::net::SocketAddr, now: Instant) {
        self.peers.heard(id, address, now);
        self.feed(GroupInput::Heard { id, address });
    }

    fn received(&mut self, link: LinkId, frame: Frame, now: Instant) {
        let Some(accepted) = self.links.get(&link) else {
            return;
        };
        let hello = accepted.hello;
        if let Some(address) = hello.address {
            self.heard(hello.id, address, now);
        }
        match frame {
            Frame::Alive(number) => {
                // A full queue holds frames that are a sign of life themselves.
                let _sent = self
                    .links
                    .get(&link)
                    .map(|l| l.frames.try_send(Frame::Alive(number)));
            }
            Frame::Replica { to, message } if to == self.id => {
                let message = *message;
                let from = hello.id;
                self.feed(GroupInput::Message { from, message });
            }
            Frame::Replica { to, .. } => {
                info!(
                    to,
                    from = hello.id,
                    "a message for the former instance at this address"
                );
            }
            Frame::Targets(announcements) => self.merge(announcements, false, now),
            Frame::Homes(homes) => self.pass_on_homes(link, homes),
            Frame::Loads(counts) if hello.address.is_some() => {
                self.loads.peer(hello.id, counts, now);
            }
            Frame::Loads(counts) => self.loads.router(hello.id, counts, now),
            Frame::Want => self.send_config(link),
            Frame::Ask(asked) => self.asked(link, asked, now),
            Frame::Put { ticket, document } => self.peer_put(hello.id, ticket, document, now),
            Frame::Get { ticket } => self.peer_get(hello.id, ticket, now),
            Frame::PutDone { ticket, accepted } => self.put_done(ticket, accepted),
            Frame::GetDone { ticket, document } => self.get_done(ticket, document),
            Frame::Controls(addresses) => {
                for address in addresses {
                    self.peers.learn(address);
                }
            }
            Frame::Hello(_)
            | Frame::Silent(_)
            | Frame::Config(_)
            | Frame::Totals(_)
            | Frame::InForce { .. } => {
                warn!(link, "a frame came that this side does not take");
            }
        }
    }

    fn dialed(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(address) => {
                info!(%address, "link to a control instance is up");
                let now = Instant::now();
                let all = self.registry.all().cloned().collect();
                let recent = self.peers.recent(now);
                self.peers.send_to_all(&Frame::Controls(recent));
                self.peers.send_to_all(&Frame::Targets(all));
            }
            LinkEvent::Down(address, error) => {
                info!(%address, %error, "link to a control instance is down");
            }
            LinkEvent::Frame(..) => {}
        }
    }

    /// Answers a router. Only the leader knows what is in force.
    fn asked(&mut self, link: LinkId, asked: u64, now: Instant) {
        if self.is_leader() {
            let ticket = self.waiters.add(Waiter::Ask { link, asked }, now);
            self.feed(GroupInput::Read { ticket });
        } else if let Some(accepted) = self.links.get(&link) {
            // A full queue holds frames that are a sign of life themselves.
            let _sent = accepted.frames.try_send(Frame::Alive(asked));
        }
    }

    fn is_leader(&self) -> bool {
        self.group.leader() == Some(self.id)
    }

    /// Hands an operator's request to the leader, here or elsewhere. Without a
    /// leader it waits for one.
    fn request(&mut self, waiter: Waiter, now: Instant) {
        let leader = self.group.leader();
        let change = match &waiter {
            Waiter::Put { document, .. } => Some(document.clone()),
            _ => None,
        };
        let settled = change
            .as_ref()
            .is_some_and(|d| d.version <= self.group.document().version);
        let ticket = self.waiters.add(waiter, now);
        if leader == Some(self.id) || settled {
            self.feed(match change {
                Some(document) => GroupInput::Put { ticket, document },
                None => GroupInput::Read { ticket },
            });
        } else if let Some(leader) = leader {
            let frame = match change {
                Some(document) => Frame::Put { ticket, document },
                None => Frame::Get { ticket },
            };
            if !self.peers.send_to(leader, frame) {
                warn!(leader, "no link to the leader");
            }
        }
    }

    fn send_config(&self, link: LinkId) {
        if let Some(accepted) = self.links.get(&link) {
            // A router that gets nothing asks again.
            let _sent = accepted
                .frames
                .try_send(Frame::Config(self.group.document().clone()));
        }
    }

    fn peer_put(&mut self, peer: InstanceId, ticket: Ticket, document: Document, now: Instant) {
        let ticket = self.waiters.add(Waiter::PeerPut { peer, ticket }, now);
        self.feed(GroupInput::Put { ticket, document });
    }

    fn peer_get(&mut self, peer: InstanceId, ticket: Ticket, now: Instant) {
        let ticket = self.waiters.add(Waiter::PeerGet { peer, ticket }, now);
        self.feed(GroupInput::Read { ticket });
    }

    fn put_done(&mut self, ticket: Ticket, accepted: bool) {
        if accepted && let Some(Waiter::Put { result, .. }) = self.waiters.take(ticket) {
            // The operator may have given up waiting.
            let _told = result.send(PutResult::Accepted);
        }
    }

    fn get_done(&mut self, ticket: Ticket, document: Option<Document>) {
        if document.is_some()
            && let Some(Waiter::Get { result }) = self.waiters.take(ticket)
        {
            let _told = result.send(document);
        }
    }

    fn feed(&mut self, input: GroupInput) {
        let outputs = self.group.handle(input, Instant::now());
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: GroupOutput) {
        match output {
            GroupOutput::Persist(persist) => {
                if self.writes.send(Write::Log(persist)).is_err() {
                    error!("the disk thread has ended");
                }
            }
            GroupOutput::Send { to, message } => {
                // The log sends again what is lost.
                let message = Box::new(message);
                let _sent = self.peers.send_to(to, Frame::Replica { to, message });
            }
            GroupOutput::Reply { ticket, reply } => self.reply(ticket, reply),
            GroupOutput::Changed => {
                // A replayed log changes the document many times at once.
                let document = self.group.document();
                if document.version > self.published {
                    self.published = document.version;
                    info!(version = document.version, "configuration in force");
                    self.publish_config(&Frame::Config(document.clone()));
                }
            }
            GroupOutput::Leadership { leader } => {
                info!(?leader, own = leader == Some(self.id), "leader changed");
                if leader.is_some() {
                    for waiter in self.waiters.take_own() {
                        self.request(waiter, Instant::now());
                    }
                }
            }
            GroupOutput::MembersChanged { voters } => info!(?voters, "members changed"),
            GroupOutput::Identity(problem) => warn!(%problem, "disk identity"),
            GroupOutput::Violation(message) => error!(message, "invariant violated"),
        }
    }

    fn reply(&mut self, ticket: Ticket, reply: Result<Reply, Unavailable>) {
        let Some(waiter) = self.waiters.take(ticket) else {
            return;
        };
        let accepted = reply.is_ok();
        let newest = || accepted.then(|| self.group.document().clone());
        match waiter {
            Waiter::Put { result, .. } => {
                let outcome = if accepted {
                    PutResult::Accepted
                } else {
                    PutResult::Unclear
                };
                // The operator may have given up waiting.
                let _told = result.send(outcome);
            }
            Waiter::Get { result } => {
                let _told = result.send(newest());
            }
            Waiter::PeerPut { peer, ticket } => {
                // A lost result reads as unclear.
                let _sent = self
                    .peers
                    .send_to(peer, Frame::PutDone { ticket, accepted });
            }
            Waiter::PeerGet { peer, ticket } => {
                let document = newest();
                let _sent = self
                    .peers
                    .send_to(peer, Frame::GetDone { ticket, document });
            }
            Waiter::Ask { link, asked } => self.tell_in_force(link, asked, reply),
        }
    }

    fn tell_in_force(&self, link: LinkId, asked: u64, reply: Result<Reply, Unavailable>) {
        let Some(accepted) = self.links.get(&link) else {
            return;
        };
        let routers = self
            .links
            .values()
            .filter(|l| l.hello.address.is_none())
            .count();
        let frame = match reply {
            Ok(Reply::Newest { version } | Reply::Accepted { version }) => Frame::InForce {
                asked,
                version,
                routers: u32::try_from(routers).unwrap_or(u32::MAX),
            },
            Err(_) => Frame::Alive(asked),
        };
        // A router that gets no answer asks again.
        let _sent = accepted.frames.try_send(frame);
    }
}

/// Seed of election timeouts; instances must differ, and so must restarts.
fn seed(id: InstanceId) -> u64 {
    id ^ crate::clock::BootTime::now().0
}
