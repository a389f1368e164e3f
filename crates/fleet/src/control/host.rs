//! The task that owns the state of a control instance.

mod config;
mod links;
mod targets;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_group::{Group, GroupInput, GroupOutput, GroupSettings};
use bamboospur_platform::settings::ProcessSettings;
use bamboospur_registry::{Announcement, Registry, RegistrySettings, StartTime, TargetName};
use bamboospur_types::{InstanceId, stable_id};
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::time::sleep_until;
use tracing::{error, info, warn};

use super::counters::{Counters, Gauges};
use super::disk::{self, Write};
use super::event::Event;
use super::operators::{Waiter, Waiters};
use super::peers::Peers;
use super::soft::{SoftSchedule, SoftState};
use super::spread::{Fanout, FanoutSettings};
use crate::link::{AcceptedLinks, Frame, LinkId};
use crate::loads::Loads;

/// Time between two signs of life to peers, and between batches of reports.
const ROUND: Duration = Duration::from_millis(500);
/// Time between two sums of the routers' loads.
const LOADS_ROUND: Duration = Duration::from_millis(250);
/// Targets in a sum that is sent in every round; 10 KB.
const LOADS_ENTRIES: usize = 1_000;
/// Least time between two batches of news for routers, so that many targets that
/// start at once cost few frames.
const UPDATE_BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Reports of a target that may be missed before it counts as silent.
const MISSED_REPORTS: u32 = 5;
/// Places of cached prompts that are kept for routers that start.
const MAX_CACHED_PREFIXES: usize = 4_096;

/// State of a control instance.
pub struct Host {
    id: InstanceId,
    group_settings: GroupSettings,
    group: Group,
    registry: Registry,
    writes: std::sync::mpsc::Sender<Write>,
    soft: SoftSchedule,
    peers: Peers,
    links: AcceptedLinks,
    waiters: Waiters,
    /// Routers whose questions came while no leader was known.
    unanswered: BTreeSet<LinkId>,
    /// Announcements since the last round that peers have not been sent.
    unsent: BTreeMap<TargetName, Announcement>,
    /// Targets that routers have heard since the last round.
    heard: BTreeMap<TargetName, (StartTime, u64)>,
    spread: Fanout,
    /// News that routers have not been told.
    news: Vec<Announcement>,
    /// When the next news can be told.
    news_at: Instant,
    /// Targets that routers were told are silent.
    silent: BTreeSet<String>,
    /// Newest places of cached prompts, oldest first.
    prefixes: VecDeque<(u64, u64)>,
    /// Version that routers were told last.
    published: u64,
    counters: Counters,
    /// Control instances that routers were told of.
    told_controls: Vec<SocketAddr>,
    loads: Loads,
    loads_at: Instant,
    round_at: Instant,
}

impl Host {
    /// Opens the data folder and starts the replica.
    pub fn start(
        settings: &ProcessSettings,
        spread: FanoutSettings,
        events: Sender<Event>,
    ) -> Result<Self, String> {
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
        let silence_timeout = settings.report_period * MISSED_REPORTS;
        info!(id = opened.id, founder = is_founder, "data folder opened");
        let mut registry = Registry::new(RegistrySettings {
            silence_timeout,
            ..RegistrySettings::default()
        });
        let soft = SoftState::decode(opened.soft);
        info!(
            targets = soft.targets.len(),
            prefixes = soft.prefixes.len(),
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
            links: AcceptedLinks::default(),
            waiters: Waiters::default(),
            unanswered: BTreeSet::new(),
            unsent: BTreeMap::new(),
            heard: BTreeMap::new(),
            spread: Fanout::new(spread),
            news: Vec::new(),
            news_at: now,
            silent: BTreeSet::new(),
            prefixes: soft.prefixes.into(),
            published: 0,
            counters: Counters::default(),
            told_controls: Vec::new(),
            loads: Loads::default(),
            loads_at: now + LOADS_ROUND,
            round_at: now + ROUND,
        })
    }

    /// Handles events until all senders are gone.
    pub async fn run(mut self, mut events: Receiver<Event>) {
        self.feed(GroupInput::Tick);
        loop {
            let deadline = self.next_deadline();
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                () = sleep_until(deadline.into()) => self.tick(),
            }
        }
    }

    fn next_deadline(&self) -> Instant {
        let rounds = self.round_at.min(self.loads_at);
        let news = (!self.news.is_empty()).then_some(self.news_at);
        let deadline = self.group.next_deadline().min(rounds);
        news.map_or(deadline, |at| deadline.min(at))
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if now >= self.group.next_deadline() {
            self.feed(GroupInput::Tick);
        }
        if now >= self.news_at {
            self.tell_news(now);
        }
        if now >= self.loads_at {
            let entries = self.exchange_loads(now);
            self.loads_at = now + loads_round(entries);
        }
        if now >= self.round_at {
            self.round_at = now + ROUND;
            self.round(now);
        }
    }

    fn round(&mut self, now: Instant) {
        self.waiters.drop_old(now);
        self.peers.forget_old(now);
        self.registry.remove_expired(now);
        let batch: Vec<Announcement> = std::mem::take(&mut self.unsent).into_values().collect();
        if !batch.is_empty() {
            self.peers.send_to_all(&Frame::Targets(batch));
        }
        let heard = std::mem::take(&mut self.heard).into_iter();
        let heard: Vec<_> = heard
            .map(|(name, (start, seq))| (name, start, seq))
            .collect();
        if !heard.is_empty() {
            self.peers.send_to_all(&Frame::Heard(heard));
        }
        self.peers.send_to_all(&Frame::Alive(0));
        let controls = self.peers.recent(now);
        if controls != self.told_controls {
            self.send_to_routers(&Frame::Controls(controls.clone()));
            self.told_controls = controls;
        }
        self.plan_relays();
        self.find_silent(now);
        self.keep_soft_state(now);
    }

    fn handle(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Target(call) => self.target_call(call, now),
            Event::Put { document, result } => {
                self.counters.operator_calls += 1;
                self.request(Waiter::Put { result, document }, now);
            }
            Event::Get { result } => {
                self.counters.operator_calls += 1;
                self.request(Waiter::Get { result }, now);
            }
            Event::Accepted(event) => self.accepted(event, now),
            Event::Dialed(event) => self.dialed(event),
            Event::Synced { sequence } => self.feed(GroupInput::Synced { sequence }),
            Event::DiskFailed => {
                self.counters.disk_failures += 1;
                self.feed(GroupInput::DiskFailed);
            }
            Event::DiskReopened(restored) => {
                let settings = self.group_settings.clone();
                self.group = Group::new(settings, *restored, seed(self.id), now);
                self.feed(GroupInput::Tick);
            }
            Event::Seeds(seeds) => self.peers.set_seeds(&seeds),
            Event::Metrics { text } => {
                // The one who asked may have closed.
                let _told = text.send(self.metrics_text(now));
            }
            Event::Stop => self.feed(GroupInput::Transfer),
        }
    }

    fn metrics_text(&self, now: Instant) -> String {
        let status = self.group.status();
        self.counters.text(&Gauges {
            config_version: status.version,
            leads: self.is_leader(),
            voters: status.voters,
            targets: self.registry.usable(now).len(),
            links: self.links.len(),
            relays: self.spread.relay_links().count(),
        })
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
                    self.counters.configs += 1;
                    info!(version = document.version, "configuration in force");
                    self.publish_config(&Frame::Config(document.clone()));
                }
            }
            GroupOutput::Leadership { leader } => {
                self.counters.elections += 1;
                info!(?leader, own = leader == Some(self.id), "leader changed");
                if leader.is_some() {
                    for waiter in self.waiters.take_own() {
                        self.request(waiter, Instant::now());
                    }
                    self.name_leader();
                }
            }
            GroupOutput::MembersChanged { voters } => info!(?voters, "members changed"),
            GroupOutput::Identity(problem) => warn!(%problem, "disk identity"),
            GroupOutput::Violation(message) => {
                self.counters.violations += 1;
                error!(message, "invariant violated");
            }
        }
    }
}

/// Time until the next exchange of loads. Totals of many targets are sent less
/// often, so that they keep to a small part of the link.
fn loads_round(entries: usize) -> Duration {
    let rounds = 1 + entries / LOADS_ENTRIES;
    LOADS_ROUND * u32::try_from(rounds).unwrap_or(u32::MAX)
}

/// Seed of election timeouts; instances must differ, and so must restarts.
fn seed(id: InstanceId) -> u64 {
    id ^ crate::clock::BootTime::now().0
}
