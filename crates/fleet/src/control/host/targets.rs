//! Reports of targets, loads and cached prompts of routers, and the updates sent to
//! routers.

use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_registry::{Announcement, Merge, Phase, StartTime, TargetName};
use tokio::sync::oneshot;
use tracing::{error, info, warn};

use super::{Host, UPDATE_BATCH_INTERVAL};
use crate::calls::{TargetCall, TargetUpdate};
use crate::control::disk::Write;
use crate::control::soft::SoftState;
use crate::link::{Frame, LinkId, Ticket};
use crate::stream_origins::origin_at;

/// Departures times routers up to which departures go to every router directly, besides
/// the relays. A router whose relays have all frozen then learns of a few departures
/// without delay.
const MAX_DIRECT_DEPARTURE_ENTRIES: usize = 600;

/// What answers the report of a target.
#[derive(Debug)]
pub enum ReportReply {
    /// The target called this instance.
    Call {
        /// Receives the address for later reports.
        reply: oneshot::Sender<Option<SocketAddr>>,
        /// Address for later reports; `None` if they stay here.
        report_address: Option<SocketAddr>,
    },
    /// The target called a router, which forwarded the report.
    Forwarded {
        /// Link of the router.
        link: LinkId,
        /// Ticket that the router gave to the report.
        ticket: Ticket,
    },
    /// The target called another control instance, which asks this one to keep a copy.
    Copied {
        /// Link of the other instance.
        link: LinkId,
        /// Ticket that the other instance gave to the report.
        ticket: Ticket,
    },
}

impl Host {
    /// Handles the call of a target. The answer tells the target where to report next.
    pub(super) fn handle_target_call(&mut self, call: TargetCall, now: Instant) {
        match call.update {
            TargetUpdate::Report(announcement) => {
                self.counters.reports += 1;
                let reply = ReportReply::Call {
                    reply: call.reply,
                    report_address: self.next_report_address(&announcement),
                };
                self.handle_report(announcement, reply, now);
            }
            TargetUpdate::Leave { name, start } => {
                let reply = ReportReply::Call {
                    reply: call.reply,
                    report_address: None,
                };
                self.handle_departure(&name, start, reply, now);
            }
        }
    }

    /// Merges the report of a target, and answers it unless the target is held or leaves.
    pub(super) fn handle_report(
        &mut self,
        announcement: Announcement,
        reply: ReportReply,
        now: Instant,
    ) {
        let name = announcement.name.clone();
        let (start, sequence) = (announcement.start, announcement.sequence);
        let leaves = announcement.phase != Phase::Ready;
        self.merge_announcements(vec![announcement], true, now);
        if leaves {
            self.copy_departure(&name, Some(start), reply, now);
            return;
        }
        let held_targets = &mut self.fleet.held_targets;
        if let Some(reply) = held_targets.hold_reply(&name, (start, sequence), reply) {
            self.answer_report(reply, now);
        }
    }

    pub(super) fn answer_report(&mut self, reply: ReportReply, now: Instant) {
        match reply {
            ReportReply::Call {
                reply,
                report_address,
            } => {
                // The target may have given up waiting.
                let _sent = reply.send(report_address);
            }
            ReportReply::Forwarded { link, ticket } | ReportReply::Copied { link, ticket } => {
                self.acknowledge(link, ticket, now);
            }
        }
    }

    fn next_report_address(&self, announcement: &Announcement) -> Option<std::net::SocketAddr> {
        if announcement.phase != Phase::Ready {
            return None;
        }
        let routers = self.links.routers().map(|(_, hello)| hello);
        let (name, data_centre) = (&announcement.name, &announcement.data_centre);
        self.fanout
            .report_address(routers, name, data_centre, self.registry.len())
    }

    /// Records that a target leaves, and answers its call once there are enough copies.
    pub(super) fn handle_departure(
        &mut self,
        name: &str,
        start: Option<StartTime>,
        reply: ReportReply,
        now: Instant,
    ) {
        self.fleet.held_targets.remove_departed(name, start);
        if let Some(departure) = self.registry.leave(name, start, now) {
            self.unsent_to_peers
                .insert(name.to_owned(), departure.clone());
            self.queue_updates(vec![departure], now);
        }
        self.copy_departure(name, start, reply, now);
    }

    /// Asks the peers to keep a copy of what a target that leaves said, and answers its call once
    /// a quorum of the group has it on disk.
    fn copy_departure(
        &mut self,
        name: &str,
        start: Option<StartTime>,
        reply: ReportReply,
        now: Instant,
    ) {
        let is_copy = matches!(reply, ReportReply::Copied { .. });
        let copied = self.copied_departure(name, start).filter(|_| !is_copy);
        let needed_copies = if copied.is_some() {
            self.needed_copies()
        } else {
            1
        };
        let available_copies = 1 + self.peers.linked_count();
        if available_copies < needed_copies {
            self.counters.refused_departures += 1;
            warn!(
                target_name = name,
                available_copies,
                needed_copies,
                "cannot acknowledge that a target leaves: too few control instances are linked; \
                 refusing the call, which the target repeats at another instance"
            );
            return;
        }
        let own_write = self.soft_writes.require_all();
        self.save_soft_state(now);
        let ticket = self.departures.add(reply, needed_copies, own_write, now);
        if let Some(announcement) = copied.map(Box::new) {
            let report = Frame::Report {
                ticket,
                announcement,
            };
            for responder in self.peers.send_request_to_all(&report) {
                self.departures.record_sent(ticket, responder);
            }
        }
        self.acknowledge_departures(now);
    }

    /// Returns how many control instances must have a departure on disk before it is
    /// acknowledged: a quorum of the group, as for a configuration.
    fn needed_copies(&self) -> usize {
        match self.group.voters().len() {
            // The size of the group is not known yet.
            0 => usize::MAX,
            voters => voters / 2 + 1,
        }
    }

    /// Returns what peers copy of a target that leaves; `None` if a later start of the target is
    /// known, which makes the departure of this one obsolete.
    fn copied_departure(&self, name: &str, start: Option<StartTime>) -> Option<Announcement> {
        let known = self.registry.get(name)?;
        let is_current = start.is_none_or(|start| start == known.start);
        is_current.then(|| known.clone())
    }

    /// Acknowledges the departures of which there are enough copies.
    pub(super) fn acknowledge_departures(&mut self, now: Instant) {
        let copied = self.departures.take_copied(self.soft_writes.stored());
        if copied.is_empty() {
            return;
        }
        self.send_updates(now);
        for reply in copied {
            self.answer_report(reply, now);
        }
    }

    /// Refuses the calls of leaving targets for which there were not enough copies in time.
    pub(super) fn remove_expired_departures(&mut self, now: Instant) {
        let expired = self.departures.remove_expired(now);
        if expired > 0 {
            self.counters.refused_departures += u64::try_from(expired).unwrap_or(u64::MAX);
            warn!(
                expired,
                "too few control instances stored departures of targets in time; refusing the \
                 calls, which the targets repeat at other instances"
            );
        }
    }

    /// Records reports without changes that targets sent to routers. If `direct`, they
    /// come from the routers themselves and are forwarded to peers.
    pub(super) fn refresh_targets(
        &mut self,
        targets: Vec<(TargetName, StartTime, u64)>,
        direct: bool,
        now: Instant,
    ) {
        let mut returned = Vec::new();
        for (name, start, sequence) in targets {
            let merge = self.registry.refresh(&name, start, sequence, now);
            if merge == Merge::Stale {
                continue;
            }
            self.record_alive(&name, start, now);
            if merge == Merge::Changed {
                info!(target_name = name, "silent target reports again");
                returned.extend(self.registry.get(&name).cloned());
            }
            if direct {
                self.refreshed_targets.insert(name, (start, sequence));
            }
        }
        self.queue_updates(returned, now);
    }

    /// Sends the sums of local routers to peers and the totals to routers. Returns the
    /// number of entries in the totals.
    pub(super) fn exchange_loads(&mut self, now: Instant) -> usize {
        self.loads.remove_expired(now);
        if !self.loads.has_routers() {
            return 0;
        }
        self.peers
            .send_to_all(&Frame::Loads(self.loads.local_totals()));
        let totals = self.loads.totals();
        let entries = totals.len();
        // A router that misses totals receives the next ones.
        self.links
            .try_send(&self.reporting_router_links(), &Frame::Totals(totals));
        entries
    }

    pub(super) fn save_soft_state(&mut self, now: Instant) {
        let Some(number) = self.soft_writes.start_due(now) else {
            return;
        };
        let state = SoftState {
            targets: self.registry.all(now).collect(),
            prefixes: self.cached_prefixes.iter().collect(),
        };
        let Some(blob) = state.encode() else {
            error!("the soft state cannot be encoded; the stored one stays until the next try");
            self.soft_writes.record_failure(now);
            return;
        };
        if self.writes.send(Write::SoftState { number, blob }).is_err() {
            error!("the disk takes no writes until it is reopened; dropping the soft state");
        }
    }

    /// Reports targets that became silent to routers. An instance without a leader may be
    /// cut off from the instances that receive the reports, so it reports nothing.
    pub(super) fn send_silent_targets(&mut self, now: Instant) {
        if self.group.leader().is_none() {
            return;
        }
        let silent: Vec<Announcement> = self.registry.silent(now).cloned().collect();
        let newly_silent = silent
            .iter()
            .filter(|a| !self.reported_silent.contains(&a.name));
        let newly_silent: Vec<Announcement> = newly_silent.cloned().collect();
        self.reported_silent = silent.into_iter().map(|a| a.name).collect();
        if !newly_silent.is_empty() {
            let names: Vec<&str> = newly_silent.iter().map(|a| a.name.as_str()).collect();
            info!(?names, "no reports from targets; marking them silent");
            self.send_via_relays(&Frame::Silent(newly_silent));
        }
    }

    /// Merges announcements into the registry. If `direct`, they come from the targets or
    /// from routers and are forwarded to peers.
    pub(super) fn merge_announcements(
        &mut self,
        announcements: Vec<Announcement>,
        direct: bool,
        now: Instant,
    ) {
        let mut updates = Vec::new();
        for announcement in announcements {
            // Peers send on only what they have admitted.
            let admitted = if direct {
                self.admit(announcement, now)
            } else {
                Some(announcement)
            };
            let Some(announcement) = admitted else {
                continue;
            };
            let merge = self.registry.merge(announcement.clone(), now);
            if merge == Merge::Stale {
                continue;
            }
            if announcement.phase != Phase::Gone {
                self.record_alive(&announcement.name, announcement.start, now);
            }
            if direct {
                self.unsent_to_peers
                    .insert(announcement.name.clone(), announcement.clone());
            }
            if merge == Merge::Changed {
                info!(
                    target_name = announcement.name,
                    start = announcement.start.0,
                    sequence = announcement.sequence,
                    phase = %announcement.phase,
                    service = announcement.service,
                    software = announcement.software,
                    address = %announcement.address,
                    direct,
                    "target changed"
                );
                updates.push(announcement);
            }
        }
        self.queue_updates(updates, now);
    }

    /// Returns an announcement that can be merged now; proposes the software of another one.
    fn admit(&mut self, announcement: Announcement, now: Instant) -> Option<Announcement> {
        let software = origin_at(&announcement);
        let held_targets = &mut self.fleet.held_targets;
        let admitted = held_targets.admit(announcement, self.group.fleet());
        if admitted.is_none() {
            self.propose_software_of(software, now);
        }
        admitted
    }

    /// Sends updates of targets to routers, now or with the next batch.
    fn queue_updates(&mut self, updates: Vec<Announcement>, now: Instant) {
        if updates.is_empty() {
            return;
        }
        for announcement in &updates {
            self.reported_silent.remove(&announcement.name);
            match announcement.phase {
                Phase::Ready => self.soft_writes.schedule().record_change(),
                Phase::Draining | Phase::Gone => self.soft_writes.schedule().record_departure(),
            }
        }
        self.save_soft_state(now);
        self.pending_updates.extend(updates);
        if now >= self.next_updates_at {
            self.send_updates(now);
        }
    }

    /// Sends the pending updates to routers, and those that came from targets to peers.
    pub(super) fn send_updates(&mut self, now: Instant) {
        if self.pending_updates.is_empty() {
            return;
        }
        self.next_updates_at = now + UPDATE_BATCH_INTERVAL;
        if !self.fanout.has_relays() {
            self.update_relays(now);
        }
        let updates = std::mem::take(&mut self.pending_updates);
        let from_targets = updates
            .iter()
            .filter(|a| self.unsent_to_peers.contains_key(&a.name));
        let from_targets: Vec<Announcement> = from_targets.cloned().collect();
        if !from_targets.is_empty() {
            self.peers.send_to_all(&Frame::Targets(from_targets));
        }
        let departed = updates.iter().filter(|a| a.phase != Phase::Ready);
        let departed: Vec<Announcement> = departed.cloned().collect();
        self.send_via_relays(&Frame::Targets(updates));
        let entries = departed.len().saturating_mul(self.links.routers().count());
        let few = (1..=MAX_DIRECT_DEPARTURE_ENTRIES).contains(&entries);
        if self.fanout.has_relays() && few {
            self.send_to_routers(&Frame::Targets(departed));
        }
    }

    /// Forwards cached prefixes to the other routers, and to peers, which store them as
    /// well: a router that starts asks one instance for all of them.
    pub(super) fn forward_prefixes(&mut self, prefixes: Vec<(u64, u64)>, now: Instant) {
        self.store_prefixes(&prefixes);
        self.prefix_queue.push(&prefixes);
        self.peers.send_to_all(&Frame::CachedPrefixes(prefixes));
        self.send_prefixes(now);
    }

    /// Stores cached prefixes for routers that start.
    pub(super) fn store_prefixes(&mut self, prefixes: &[(u64, u64)]) {
        self.cached_prefixes.add(prefixes.iter().copied());
        self.soft_writes.schedule().record_change();
    }
}
