//! State and entry points of the placer.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{ChatId, InstanceId, TargetId, WorkTokens, mix64};

use crate::chat_locations::{ChatLocations, Location};
use crate::counts::HolderCounts;
use crate::decision::{Decision, PlacementOutput, Refusal, Ticket};
use crate::held::HeldRequests;
use crate::mean::{GroupLoad, Summaries};
use crate::message::{CacheEventKind, PlacementMessage};
use crate::peers::Peers;
use crate::request::PlacementRequest;
use crate::route::PendingReservation;
use crate::settings::PlacementSettings;
use crate::targets::Targets;
use crate::view::{DataCentreId, LoadReport, TargetView};

/// Time between the periodic checks: expiry of silent peers, sums of the load
/// reports and invariants.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Bound of the random number at which the count of tickets begins. Small counts take fewer bytes
/// in packets.
const FIRST_COUNT_BITS: u32 = 27;

/// Chooses targets for the requests of one pool.
#[derive(Debug)]
pub struct Placer {
    pub(crate) settings: PlacementSettings,
    pub(crate) own_id: InstanceId,
    pub(crate) targets: Targets,
    pub(crate) held: HeldRequests,
    pub(crate) counts: HolderCounts,
    pub(crate) summaries: Summaries,
    pub(crate) chat_locations: ChatLocations,
    pub(crate) peers: Peers,
    pub(crate) pending_reservations: BTreeMap<Ticket, PendingReservation>,
    pub(crate) reported_loads: BTreeMap<DataCentreId, GroupLoad>,
    pub(crate) violations: u64,
    pub(crate) unreported_violations: Vec<&'static str>,
    pub(crate) pending_outputs: Vec<PlacementOutput>,
    pub(crate) summaries_due_at: Option<Instant>,
    pub(crate) summary_check_tokens: f64,
    next_ticket: Ticket,
    random: u64,
    checked_at: Option<Instant>,
}

impl Placer {
    /// Creates the placer of instance `own_id`.
    ///
    /// `epoch` is the start number of the process, such as its start time in
    /// seconds; the low 32 bits are used. It must increase with every restart,
    /// because it orders the declarations of one instance. It also seeds the
    /// random choices. `ticket_seed` differs between all processes of an instance: answers
    /// leave out the epoch of a ticket, so the counts of a process begin at a random number,
    /// and an answer to the process before names no request of this one.
    #[must_use]
    pub fn new(
        settings: PlacementSettings,
        own_id: InstanceId,
        epoch: u64,
        ticket_seed: u64,
    ) -> Self {
        let start = (epoch & 0xffff_ffff) << 32;
        let first_count = mix64(ticket_seed ^ own_id) >> (u64::BITS - FIRST_COUNT_BITS);
        Self {
            own_id,
            targets: Targets::new(own_id),
            held: HeldRequests::default(),
            counts: HolderCounts::default(),
            summaries: Summaries::default(),
            chat_locations: ChatLocations::new(settings.max_chat_locations),
            peers: Peers::new(own_id, start),
            pending_reservations: BTreeMap::new(),
            reported_loads: BTreeMap::new(),
            violations: 0,
            unreported_violations: Vec::new(),
            pending_outputs: Vec::new(),
            summaries_due_at: None,
            summary_check_tokens: 0.0,
            next_ticket: start + first_count + 1,
            random: mix64(own_id ^ mix64(epoch)),
            checked_at: None,
            settings,
        }
    }

    /// Adds or replaces a target.
    pub fn set_target(&mut self, view: TargetView, now: Instant) {
        let target = view.id;
        let owner = self.targets.owner(target);
        if self.targets.set(view, now) {
            self.chat_locations.forget_target(target);
        }
        if self.targets.owner(target) != owner {
            self.schedule_target_declaration(target, now, now);
        }
    }

    /// Stores a load report; ignores it if the target is unknown.
    pub fn set_report(&mut self, target: TargetId, report: LoadReport) {
        self.targets.set_report(target, report);
    }

    /// Removes a target that left or failed. Its requests stay held until `finish`.
    pub fn remove_target(&mut self, target: TargetId, _now: Instant) {
        self.targets.remove(target);
    }

    /// Replaces the routers of the own data centre, this one included.
    ///
    /// Holdings are declared to new owners by the next `tick`.
    pub fn set_routers(&mut self, routers: &[InstanceId], now: Instant) {
        self.targets.set_routers(routers, now);
        self.summaries.retain(routers);
        self.schedule_all_declarations(now);
    }

    /// Replaces the routers of another data centre.
    pub fn set_remote_routers(
        &mut self,
        data_centre: DataCentreId,
        routers: &[InstanceId],
        now: Instant,
    ) {
        self.targets.set_remote_routers(data_centre, routers, now);
        self.schedule_all_declarations(now);
    }

    /// Chooses a target, or starts to reserve room on one.
    pub fn place(&mut self, request: &PlacementRequest<'_>, now: Instant) -> Decision {
        self.route(request, now)
    }

    /// Handles a message from another router.
    pub fn handle(
        &mut self,
        message: PlacementMessage,
        from: InstanceId,
        now: Instant,
    ) -> Vec<PlacementOutput> {
        let mut outputs = Vec::new();
        match message {
            PlacementMessage::ReservationRequest(reservation) => {
                self.handle_reservation(reservation, now, &mut outputs);
            }
            PlacementMessage::Grant {
                ticket,
                target,
                work_tokens,
                source,
            } => {
                let work_tokens = WorkTokens::from(work_tokens);
                self.handle_grant(ticket, target, work_tokens, source, from, now, &mut outputs);
            }
            PlacementMessage::Deny { ticket, round } => {
                self.handle_denial(ticket, round, now, &mut outputs);
            }
            PlacementMessage::Declare {
                version,
                settled,
                holdings,
            } => self
                .counts
                .apply_declaration(from, version, settled, &holdings, now),
            PlacementMessage::Summary {
                version,
                load_tokens,
                weight_tokens,
            } => {
                let group = GroupLoad {
                    load_tokens: f64::from(load_tokens),
                    weight_tokens: f64::from(weight_tokens),
                };
                if self.targets.routers().contains(&from) {
                    self.summaries.update(from, version, group, now);
                }
            }
            PlacementMessage::Note {
                chat,
                target,
                prefix_tokens,
            } => self.chat_locations.put(
                chat,
                Location {
                    target,
                    prefix_tokens,
                    maybe_evicted: false,
                },
                now,
            ),
            PlacementMessage::Evicted { target, chats } => {
                for chat in chats {
                    self.chat_locations.remove_evicted(chat, target, now);
                }
            }
        }
        self.add_summaries(&mut outputs, now);
        outputs
    }

    /// Ends a placement, after the request was answered, failed or was not sent. A
    /// ticket that is not held counts as a violation.
    pub fn finish(&mut self, ticket: Ticket, now: Instant) {
        let Some(target) = self.held.remove(ticket) else {
            self.record_violation("a ticket was finished that is not held");
            return;
        };
        self.schedule_target_declaration(target, now + self.settings.declare_delay, now);
    }

    /// Handles a cache event that a target posted to this instance. An eviction is
    /// relayed to the owner of the target.
    pub fn handle_cache_event(
        &mut self,
        target: TargetId,
        chat: ChatId,
        prefix_tokens: WorkTokens,
        kind: CacheEventKind,
        now: Instant,
    ) {
        let Some(owner) = self.targets.owner(target) else {
            return;
        };
        match kind {
            CacheEventKind::Evicted if owner == self.own_id => {
                self.chat_locations.remove_evicted(chat, target, now);
            }
            CacheEventKind::Evicted => {
                let due = now + self.settings.declare_delay;
                self.peers.queue_eviction(owner, target, chat, due);
            }
            CacheEventKind::Stored if owner == self.own_id => {
                let location = Location {
                    target,
                    prefix_tokens: wire_tokens(prefix_tokens),
                    maybe_evicted: false,
                };
                if self
                    .chat_locations
                    .get(chat)
                    .is_none_or(|known| known.target == target)
                {
                    self.chat_locations.put(chat, location, now);
                }
            }
            // The owner remembers what it granted, so stored prefixes are not relayed.
            CacheEventKind::Stored => {}
        }
    }

    /// Runs timeouts, periodic messages and checks; the host calls it every
    /// `tick_interval`.
    pub fn tick(&mut self, now: Instant) -> Vec<PlacementOutput> {
        let mut outputs = std::mem::take(&mut self.pending_outputs);
        self.run_periodic_checks(now);
        self.retry_reservations(now, &mut outputs);
        self.send_declarations(now, &mut outputs);
        self.add_summaries(&mut outputs, now);
        self.send_overdue_summaries(&mut outputs, now);
        let found = self.unreported_violations.drain(..);
        outputs.extend(found.map(|what| PlacementOutput::Violation { what }));
        outputs
    }

    /// Returns the number of violated invariants found since the start.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// Returns the number of chats whose location this router remembers.
    #[must_use]
    pub fn remembered_chats(&self) -> usize {
        self.chat_locations.len()
    }

    /// Returns the counted load of a target, in tokens; `None` if another router owns
    /// the target.
    #[must_use]
    pub fn counted_tokens(&self, target: TargetId) -> Option<WorkTokens> {
        let owned = self.targets.owner(target) == Some(self.own_id);
        owned.then(|| self.counted_load(target).work_tokens)
    }

    /// Returns the work that this router holds on a target, in tokens.
    #[must_use]
    pub fn held_tokens(&self, target: TargetId) -> WorkTokens {
        self.held.sum(target).work_tokens
    }

    pub(crate) fn refuse(&self, reason: Refusal) -> Decision {
        Decision::Refuse {
            retry_after: self.settings.retry_after,
            reason,
        }
    }

    pub(crate) fn new_ticket(&mut self) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        ticket
    }

    /// Returns the highest ticket up to which no reservation is pending.
    pub(crate) fn settled_up_to(&self) -> Ticket {
        let open = self
            .pending_reservations
            .first_key_value()
            .map(|(ticket, _)| *ticket);
        open.unwrap_or(self.next_ticket) - 1
    }

    pub(crate) fn next_random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix64(self.random)
    }

    pub(crate) fn record_violation(&mut self, what: &'static str) {
        self.violations += 1;
        if !self.unreported_violations.contains(&what) {
            self.unreported_violations.push(what);
        }
    }

    fn run_periodic_checks(&mut self, now: Instant) {
        let checked_recently = |at| now.saturating_duration_since(at) < CHECK_INTERVAL;
        if self.checked_at.is_some_and(checked_recently) {
            return;
        }
        self.checked_at = Some(now);
        self.counts.expire(self.settings.holder_expiry, now);
        self.summaries.expire(now);
        self.sum_reports(now);
        if !self.counts.is_consistent() {
            self.record_violation("counts differ from the sum over their holders");
        }
        if !self.held.is_consistent() {
            self.record_violation("held sums differ from the sum over the requests");
        }
    }
}

/// Converts a token count to its wire type, limited to the largest value.
pub fn wire_tokens(tokens: WorkTokens) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
