//! Task that owns the state of a control instance.

mod config;
mod crashes;
mod fleet;
mod limits;
mod links;
mod outbox;
mod streams;
mod targets;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_crashes::{CrashOutbox, CrashOutboxSettings, Hub, HubSettings};
use bamboospur_group::{Group, GroupInput, GroupOutput, GroupSettings};
use bamboospur_platform::settings::ProcessSettings;
use bamboospur_registry::{Announcement, Registry, RegistrySettings, StartTime, TargetName};
use bamboospur_target_limits::{LimitHub, LimitHubSettings};
use bamboospur_types::{InstanceId, stable_id};
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::time::sleep_until;
use tracing::{error, info, warn};

use self::fleet::FleetTracking;
use self::targets::ReportReply;
use super::counters::{Counters, Gauges};
use super::departures::Departures;
use super::disk::{self, OpenedFolder, Write};
use super::event::Event;
use super::fanout::{Fanout, FanoutSettings};
use super::link_watch::LinkWatch;
use super::operators::{PendingRequest, PendingRequests, REQUEST_TIMEOUT};
use super::peers::Peers;
use super::prefix_queue::PrefixQueue;
use super::prefix_store::PrefixStore;
use super::route_history::RouteHistory;
use super::soft::{SoftState, SoftStateWrites};
use crate::link::{AcceptedLinks, Frame, LinkId, Traffic};
use crate::loads::{Loads, MIN_LOADS_INTERVAL, loads_interval};
use crate::memory::Buffers;
use crate::outbox::Outbox;
use crate::stream_origins::OriginTable;

/// Time between two rounds of periodic work, such as keep-alives and batches of reports
/// to peers, and the removal of expired state.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Number of entries in the totals (10 KB) that adds one interval to the time until the next
/// exchange.
const LOADS_ENTRIES_PER_INTERVAL: usize = 1_000;
/// Least time between two batches of updates to routers, so that many targets that start
/// at once cause few frames.
const UPDATE_BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Report periods without a report after which a target counts as silent.
const MAX_MISSED_REPORTS: u32 = 5;

/// State of a control instance.
pub struct Host {
    id: InstanceId,
    group_settings: GroupSettings,
    group: Group,
    registry: Registry,
    fleet: FleetTracking,
    writes: std::sync::mpsc::Sender<Write>,
    soft_writes: SoftStateWrites,
    /// Departures of targets that are not acknowledged yet.
    departures: Departures<ReportReply>,
    peers: Peers,
    links: AcceptedLinks,
    pending_requests: PendingRequests,
    /// Links of routers that queried the version in force while no leader was known.
    unanswered_links: BTreeSet<LinkId>,
    /// Newest announcements from targets since the last round, to send to peers.
    unsent_to_peers: BTreeMap<TargetName, Announcement>,
    /// Targets that reported to routers since the last round, to send to peers.
    refreshed_targets: BTreeMap<TargetName, (StartTime, u64)>,
    fanout: Fanout,
    /// Relays that the leader selected; `None` until the first list of a leader.
    leader_relays: Option<Vec<(String, SocketAddr)>>,
    /// Configurations and state that routers wait for.
    outbox: Outbox,
    /// Updates of targets that wait for the next batch to routers.
    pending_updates: Vec<Announcement>,
    /// Earliest time of the next batch of updates.
    next_updates_at: Instant,
    /// Silent targets that were reported to routers.
    reported_silent: BTreeSet<String>,
    /// Cached prefixes for routers that start.
    cached_prefixes: PrefixStore,
    /// Cached prefixes that wait to be sent to routers.
    prefix_queue: PrefixQueue,
    /// Origins of the streams that routers reported.
    stream_origins: OriginTable,
    route_history: RouteHistory,
    /// Parts of prompts that crash targets.
    crash_hub: Hub,
    /// Messages about crashes that wait for bandwidth.
    crash_outbox: CrashOutbox,
    /// Limits that targets stated.
    limit_hub: LimitHub,
    counters: Counters,
    /// Addresses of control instances that were last sent to routers.
    sent_controls: Vec<SocketAddr>,
    loads: Loads,
    next_loads_at: Instant,
    next_round_at: Instant,
    link_watch: LinkWatch,
    buffers: Buffers,
}

impl Host {
    /// Opens the data folder and starts the replica.
    pub fn start(
        settings: &ProcessSettings,
        fanout_settings: FanoutSettings,
        buffers: &Buffers,
        events: Sender<Event>,
    ) -> Result<Self, String> {
        let now = Instant::now();
        let opened = open_disk(settings, &events)?;
        let group_settings = group_settings(opened.id);
        let silence_timeout = settings.report_period * MAX_MISSED_REPORTS;
        let soft = load_soft_state(opened.soft);
        let mut cached_prefixes = PrefixStore::default();
        cached_prefixes.add(soft.prefixes);
        let registry = restore_registry(soft.targets, silence_timeout, now);
        Ok(Self {
            id: opened.id,
            group: Group::new(
                group_settings.clone(),
                opened.restored,
                election_seed(opened.id),
                now,
            ),
            group_settings,
            registry,
            fleet: FleetTracking::new(settings, now),
            writes: opened.writes,
            soft_writes: SoftStateWrites::new(now),
            departures: Departures::default(),
            peers: Peers::new(
                opened.id,
                settings.link_address,
                &settings.seeds,
                buffers.links.clone(),
                events,
            ),
            buffers: buffers.clone(),
            links: AcceptedLinks::default(),
            pending_requests: PendingRequests::default(),
            unanswered_links: BTreeSet::new(),
            unsent_to_peers: BTreeMap::new(),
            refreshed_targets: BTreeMap::new(),
            fanout: Fanout::new(fanout_settings),
            leader_relays: None,
            outbox: Outbox::new(settings.link_bytes_per_s, now),
            pending_updates: Vec::new(),
            next_updates_at: now,
            reported_silent: BTreeSet::new(),
            cached_prefixes,
            prefix_queue: PrefixQueue::new(settings.link_bytes_per_s, now),
            stream_origins: OriginTable::default(),
            route_history: RouteHistory::default(),
            crash_hub: Hub::new(HubSettings::default()),
            crash_outbox: CrashOutbox::new(CrashOutboxSettings::HUB, now),
            limit_hub: LimitHub::new(LimitHubSettings::default()),
            counters: Counters::default(),
            sent_controls: Vec::new(),
            loads: Loads::default(),
            next_loads_at: now + MIN_LOADS_INTERVAL,
            next_round_at: now + ROUND_INTERVAL,
            link_watch: LinkWatch::new(settings.link_bytes_per_s),
        })
    }

    /// Handles events until all senders are gone.
    pub async fn run(mut self, mut events: Receiver<Event>) {
        self.handle_group_input(GroupInput::Tick);
        loop {
            let deadline = self.next_deadline();
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                () = sleep_until(deadline.into()) => self.tick(),
            }
            self.send_outbox(Instant::now());
        }
    }

    fn next_deadline(&self) -> Instant {
        let periodic = self.next_round_at.min(self.next_loads_at);
        let updates = (!self.pending_updates.is_empty()).then_some(self.next_updates_at);
        let deadline = self.group.next_deadline().min(periodic);
        let blocks = self.crash_hub.next_deadline();
        let crashes = self.crash_outbox.next_at();
        let optional = [updates, blocks, crashes, self.outbox.next_at()];
        optional.into_iter().flatten().fold(deadline, Instant::min)
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if now >= self.group.next_deadline() {
            self.handle_group_input(GroupInput::Tick);
        }
        if now >= self.next_updates_at {
            self.send_updates(now);
        }
        self.block_parts(now);
        self.send_crash_messages(now);
        if now >= self.next_loads_at {
            let entries = self.exchange_loads(now);
            let routers = self.links.routers().count();
            self.next_loads_at = now + totals_interval(routers, entries);
        }
        if now >= self.next_round_at {
            self.next_round_at = now + ROUND_INTERVAL;
            self.run_round(now);
        }
    }

    fn run_round(&mut self, now: Instant) {
        self.pending_requests.remove_expired(now);
        self.remove_expired_departures(now);
        self.peers.remove_silent(&self.group.voters(), now);
        self.registry.remove_expired(now);
        self.stream_origins.remove_expired(now);
        self.crash_hub.remove_expired(now);
        self.update_limit_holders(now);
        self.update_software(now);
        self.send_prefixes(now);
        let announcements: Vec<Announcement> = std::mem::take(&mut self.unsent_to_peers)
            .into_values()
            .collect();
        if !announcements.is_empty() {
            self.peers.send_to_all(&Frame::Targets(announcements));
        }
        let refreshed = std::mem::take(&mut self.refreshed_targets).into_iter();
        let refreshed: Vec<_> = refreshed
            .map(|(name, (start, seq))| (name, start, seq))
            .collect();
        if !refreshed.is_empty() {
            self.peers.send_to_all(&Frame::Heard(refreshed));
        }
        self.peers.send_to_all(&Frame::Alive(0));
        let controls = self.peers.recent_addresses(now);
        if controls != self.sent_controls {
            self.send_to_routers(&Frame::Controls(controls.clone()));
            self.sent_controls = controls;
        }
        self.update_relays(now);
        if self.is_leader() {
            let relays = self.fanout.relays();
            self.peers.send_to_all(&Frame::Relays(relays));
        }
        self.send_silent_targets(now);
        self.save_soft_state(now);
        self.link_watch
            .end_round(ROUND_INTERVAL, self.outbox.waiting());
    }

    fn handle(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Target(call) => self.handle_target_call(call, now),
            Event::Put { document, result } => {
                self.counters.operator_calls += 1;
                let request = PendingRequest::Put { result, document };
                self.submit_request(request, now + REQUEST_TIMEOUT);
            }
            Event::Evacuate {
                data_centre,
                evacuated,
                result,
            } => {
                self.counters.operator_calls += 1;
                self.evacuate(data_centre, evacuated, result, now);
            }
            Event::Get { result } => {
                self.counters.operator_calls += 1;
                let request = PendingRequest::Get { result };
                self.submit_request(request, now + REQUEST_TIMEOUT);
            }
            Event::Accepted(event) => self.handle_accept_event(event, now),
            Event::Dialed(event) => self.handle_dial_event(event),
            Event::Synced { sequence } => self.handle_group_input(GroupInput::Synced { sequence }),
            Event::SoftStateStored { number } => {
                self.soft_writes.record_stored(number);
                self.save_soft_state(now);
                self.acknowledge_departures(now);
            }
            Event::SoftStateFailed => self.soft_writes.record_failure(now),
            Event::DiskFailed => {
                self.counters.disk_failures += 1;
                self.handle_group_input(GroupInput::DiskFailed);
            }
            Event::DiskReopened { restored, writes } => {
                self.writes = writes;
                self.soft_writes.record_failure(now);
                let settings = self.group_settings.clone();
                self.group = Group::new(settings, *restored, election_seed(self.id), now);
                self.handle_group_input(GroupInput::Tick);
            }
            Event::Seeds(seeds) => self.peers.set_seeds(&seeds),
            Event::Metrics { text } => {
                // The requesting connection may have closed.
                let _sent = text.send(self.metrics_text(now));
            }
            Event::Stop => self.handle_group_input(GroupInput::Transfer),
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
            relays: self.fanout.relay_links().count(),
            bulk_waiting: self.outbox.waiting(),
            streams: self.stream_origins.len(),
            target_limits: self.limit_hub.len(),
            blocked_parts: self.crash_hub.blocked_count(now),
            dropped_crash_messages: self.crash_outbox.dropped(),
            buffered_bytes: self.buffers.requests.used_bytes() + self.buffers.links.used_bytes(),
            refused_buffers: self.buffers.requests.refused() + self.buffers.links.refused(),
        }) + &Traffic::now().text()
    }

    fn handle_group_input(&mut self, input: GroupInput) {
        let outputs = self.group.handle(input, Instant::now());
        for output in outputs {
            self.handle_group_output(output);
        }
        self.publish_newest_document();
        self.publish_fleet(Instant::now());
    }

    /// Publishes the newest document once it changed. After a restart, one input applies
    /// many versions of the log, of which only the newest is published.
    fn publish_newest_document(&mut self) {
        let replaced = self.group.take_replaced();
        if replaced.has_gap {
            self.route_history.record_gap(Instant::now());
        }
        for document in replaced.documents {
            self.route_history.push(document, Instant::now());
        }
        let document = self.group.document();
        if document.version > self.outbox.configs().version() {
            self.counters.configs += 1;
            info!(version = document.version, "configuration in force");
            self.publish_config(document.clone());
        }
    }

    fn handle_group_output(&mut self, output: GroupOutput) {
        match output {
            GroupOutput::Persist(persist) => {
                if self.writes.send(Write::Log(persist)).is_err() {
                    error!(
                        "the disk takes no writes until it is reopened; dropping one to the log"
                    );
                }
            }
            GroupOutput::Send { to, message } => {
                // The consensus protocol sends lost messages again.
                let message = Box::new(message);
                let _sent = self.peers.send_to(to, Frame::Replica { to, message });
            }
            GroupOutput::Reply { ticket, reply } => self.handle_reply(ticket, reply),
            GroupOutput::LeaderChanged { leader } => {
                self.counters.elections += 1;
                info!(?leader, own = leader == Some(self.id), "leader changed");
                if leader.is_some() {
                    self.found_fleet(Instant::now());
                    self.update_software(Instant::now());
                    let waiting = self.pending_requests.take_operator_requests(Instant::now());
                    for (request, deadline) in waiting {
                        self.submit_request(request, deadline);
                    }
                    self.send_leader_address();
                }
            }
            GroupOutput::MembersChanged { voters } => {
                info!(?voters, "voters of the control group changed");
            }
            GroupOutput::Identity(problem) => {
                warn!(%problem, "the group does not know the disk of this instance or of a peer");
            }
            GroupOutput::Violation(message) => {
                self.counters.violations += 1;
                error!(message, "invariant violated");
            }
        }
    }
}

/// Returns the id of the instance that founds the group at a seed address.
fn founder_id_of(address: &SocketAddr) -> InstanceId {
    stable_id(&format!("founder {address}"))
}

/// Opens the data folder. All seeds found the group when the deployment starts for the first time.
fn open_disk(settings: &ProcessSettings, events: &Sender<Event>) -> Result<OpenedFolder, String> {
    let founders: Vec<InstanceId> = settings.seeds.iter().map(founder_id_of).collect();
    let is_founder = settings.first_start && settings.seeds.contains(&settings.link_address);
    let founder_id = is_founder.then(|| founder_id_of(&settings.link_address));
    let path = settings
        .data_folder
        .as_ref()
        .ok_or("the settings name no data folder")?;
    let opened = disk::open(path, founder_id, &founders, events.clone())?;
    info!(id = opened.id, founder = is_founder, "data folder opened");
    Ok(opened)
}

fn load_soft_state(blob: Option<Vec<u8>>) -> SoftState {
    let soft = SoftState::decode(blob);
    info!(
        targets = soft.targets.len(),
        prefixes = soft.prefixes.len(),
        "soft state loaded"
    );
    soft
}

fn restore_registry(
    announcements: Vec<Announcement>,
    silence_timeout: Duration,
    now: Instant,
) -> Registry {
    let mut registry = Registry::new(RegistrySettings {
        silence_timeout,
        ..RegistrySettings::default()
    });
    for announcement in announcements {
        registry.merge(announcement, now);
    }
    registry
}

/// Returns the settings of the group. On a narrow network link a heartbeat can wait for
/// some hundred milliseconds behind a read or a change of a large configuration, which is
/// no reason to replace the leader.
fn group_settings(id: InstanceId) -> GroupSettings {
    let mut settings = GroupSettings::default();
    settings.replica.election_timeout_min = Duration::from_millis(600);
    settings.replica.election_timeout_max = Duration::from_secs(1);
    settings.replica.quorum_timeout = Duration::from_millis(600);
    // Nothing here depends on a single leader: reads ask a quorum.
    settings.replica.elects_at_start = true;
    settings.replica.id = id;
    settings.replica.disk = id;
    settings
}

/// Returns the time until the next exchange of loads. Totals with many entries are sent
/// less often, so that they use a small part of the bandwidth of a link.
fn totals_interval(routers: usize, entries: usize) -> Duration {
    let intervals = 1 + entries / LOADS_ENTRIES_PER_INTERVAL;
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    loads_interval(routers) * u32::try_from(intervals).unwrap_or(u32::MAX)
}

/// Returns the seed of the election timeouts, which differs between instances and between
/// restarts.
fn election_seed(id: InstanceId) -> u64 {
    id ^ crate::clock::BootTime::now().0
}
