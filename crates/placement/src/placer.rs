//! The placer of one pool.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{ChatId, InstanceId, TargetId, WorkTokens, mix64};

use crate::counts::Counts;
use crate::decision::{Decision, PlacementOutput, Refusal, Ticket};
use crate::held::Held;
use crate::mean::{GroupLoad, Summaries};
use crate::memory::{Location, Memory};
use crate::message::{CacheEventKind, PlacementMessage};
use crate::peers::Peers;
use crate::request::PlacementRequest;
use crate::route::Waiting;
use crate::settings::PlacementSettings;
use crate::targets::Targets;
use crate::view::{DataCentreId, LoadReport, TargetView};

/// Time between the checks of the invariants and the expiry of silent peers.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Chooses targets for the requests of one pool.
#[derive(Debug)]
pub struct Placer {
    pub(crate) settings: PlacementSettings,
    pub(crate) own: InstanceId,
    pub(crate) targets: Targets,
    pub(crate) held: Held,
    pub(crate) counts: Counts,
    pub(crate) summaries: Summaries,
    pub(crate) memory: Memory,
    pub(crate) peers: Peers,
    pub(crate) waiting: BTreeMap<Ticket, Waiting>,
    pub(crate) reported: BTreeMap<DataCentreId, GroupLoad>,
    pub(crate) violations: u64,
    pub(crate) unreported: Vec<&'static str>,
    pub(crate) outbox: Vec<PlacementOutput>,
    pub(crate) summaries_due_at: Option<Instant>,
    pub(crate) checked_tokens: f64,
    next_ticket: Ticket,
    random: u64,
    checked_at: Option<Instant>,
}

impl Placer {
    /// Creates the placer of instance `own`.
    ///
    /// `epoch` is the start number of the process, such as its start time in
    /// seconds. It must increase with every restart, because it orders the
    /// declarations of one instance. It also seeds the random choices.
    #[must_use]
    pub fn new(settings: PlacementSettings, own: InstanceId, epoch: u64) -> Self {
        let start = (epoch & 0xffff_ffff) << 32;
        Self {
            own,
            targets: Targets::new(own),
            held: Held::default(),
            counts: Counts::default(),
            summaries: Summaries::default(),
            memory: Memory::new(settings.memory_chats),
            peers: Peers::new(own, start),
            waiting: BTreeMap::new(),
            reported: BTreeMap::new(),
            violations: 0,
            unreported: Vec::new(),
            outbox: Vec::new(),
            summaries_due_at: None,
            checked_tokens: 0.0,
            next_ticket: start + 1,
            random: mix64(own ^ mix64(epoch)),
            checked_at: None,
            settings,
        }
    }

    /// Adds a target or replaces what is known about it.
    pub fn set_target(&mut self, view: TargetView, now: Instant) {
        let target = view.id;
        let owner = self.targets.owner(target);
        if self.targets.set(view, now) {
            self.memory.forget_target(target);
        }
        if self.targets.owner(target) != owner {
            self.declare_target(target, now, now);
        }
    }

    /// Takes over a load report of a known target.
    pub fn set_report(&mut self, target: TargetId, report: LoadReport) {
        self.targets.set_report(target, report);
    }

    /// Removes a target that left or died. Its requests stay held until `finish`.
    pub fn remove_target(&mut self, target: TargetId, _now: Instant) {
        self.targets.remove(target);
    }

    /// Replaces the routers of the own data centre, this one included.
    ///
    /// Holdings are declared to new owners by the next `tick`.
    pub fn set_routers(&mut self, routers: &[InstanceId], now: Instant) {
        self.targets.set_routers(routers, now);
        self.summaries.retain(routers);
        self.declare_all(now);
    }

    /// Replaces the routers of another data centre.
    pub fn set_remote_routers(
        &mut self,
        data_centre: DataCentreId,
        routers: &[InstanceId],
        now: Instant,
    ) {
        self.targets.set_remote_routers(data_centre, routers, now);
        self.declare_all(now);
    }

    /// Chooses a target or starts asking for one.
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
            PlacementMessage::ReservationRequest(ask) => self.answer(ask, now, &mut outputs),
            PlacementMessage::Grant {
                ticket,
                target,
                work_tokens,
                source,
            } => {
                let work_tokens = WorkTokens::from(work_tokens);
                self.granted(ticket, target, work_tokens, source, from, now, &mut outputs);
            }
            PlacementMessage::Deny { ticket, round } => {
                self.denied(ticket, round, now, &mut outputs);
            }
            PlacementMessage::Declare {
                version,
                settled,
                holdings,
            } => self.counts.declare(from, version, settled, &holdings, now),
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
                    self.summaries.hear(from, version, group, now);
                }
            }
            PlacementMessage::Note {
                chat,
                target,
                prefix_tokens,
            } => self.memory.put(
                chat,
                Location {
                    target,
                    prefix_tokens,
                    doubtful: false,
                },
                now,
            ),
            PlacementMessage::Evicted { target, chats } => {
                for chat in chats {
                    self.memory.evicted(chat, target, now);
                }
            }
        }
        self.add_summaries(&mut outputs, now);
        outputs
    }

    /// Ends a placement: the request was answered, failed or was never sent.
    pub fn finish(&mut self, ticket: Ticket, now: Instant) {
        let Some(target) = self.held.remove(ticket) else {
            self.violate("a ticket was finished that is not held");
            return;
        };
        self.declare_target(target, now + self.settings.declare_delay, now);
    }

    /// Takes a cache event that a target posted to this instance.
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
            CacheEventKind::Evicted if owner == self.own => {
                self.memory.evicted(chat, target, now);
            }
            CacheEventKind::Evicted => {
                let due = now + self.settings.declare_delay;
                self.peers.relay_eviction(owner, target, chat, due);
            }
            CacheEventKind::Stored if owner == self.own => {
                let location = Location {
                    target,
                    prefix_tokens: clamp(prefix_tokens),
                    doubtful: false,
                };
                if self
                    .memory
                    .get(chat)
                    .is_none_or(|known| known.target == target)
                {
                    self.memory.put(chat, location, now);
                }
            }
            // The owner remembers what it granted, so stored prefixes are not relayed.
            CacheEventKind::Stored => {}
        }
    }

    /// Does all timed work; the host calls it every `tick_interval`.
    pub fn tick(&mut self, now: Instant) -> Vec<PlacementOutput> {
        let mut outputs = std::mem::take(&mut self.outbox);
        self.check(now);
        self.retry_asks(now, &mut outputs);
        self.send_declarations(now, &mut outputs);
        self.add_summaries(&mut outputs, now);
        self.send_overdue_summaries(&mut outputs, now);
        let found = self.unreported.drain(..);
        outputs.extend(found.map(|what| PlacementOutput::Violation { what }));
        outputs
    }

    /// Returns how many violations of invariants were found.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// Returns how many chats are remembered.
    #[must_use]
    pub fn remembered_chats(&self) -> usize {
        self.memory.len()
    }

    /// Returns the counted load of a target that this router owns, in tokens.
    #[must_use]
    pub fn counted_tokens(&self, target: TargetId) -> Option<WorkTokens> {
        let owned = self.targets.owner(target) == Some(self.own);
        owned.then(|| self.load(target).work_tokens)
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

    /// Returns the last ticket before which no ask is open.
    pub(crate) fn settled(&self) -> Ticket {
        let open = self.waiting.first_key_value().map(|(ticket, _)| *ticket);
        open.unwrap_or(self.next_ticket) - 1
    }

    pub(crate) fn random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix64(self.random)
    }

    pub(crate) fn violate(&mut self, what: &'static str) {
        self.violations += 1;
        if !self.unreported.contains(&what) {
            self.unreported.push(what);
        }
    }

    fn check(&mut self, now: Instant) {
        let recent = |at| now.saturating_duration_since(at) < CHECK_INTERVAL;
        if self.checked_at.is_some_and(recent) {
            return;
        }
        self.checked_at = Some(now);
        self.counts.expire(self.settings.holder_expiry, now);
        self.summaries.expire(now);
        self.sum_reports(now);
        if !self.counts.is_consistent() {
            self.violate("counts differ from the sum over their holders");
        }
        if !self.held.is_consistent() {
            self.violate("held sums differ from the sum over the requests");
        }
    }
}

/// Converts a token count to its wire type.
pub fn clamp(tokens: WorkTokens) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
