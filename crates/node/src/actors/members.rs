//! Members actor: membership of targets and instances.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bamboospur_membership::{
    InstanceRecord, Membership, MembershipChange, MembershipInput, MembershipOutput,
    MembershipSettings,
};
use bamboospur_placement::CacheEventKind;
use bamboospur_types::{
    ChatId, Incarnation, InstanceId, TargetId, TargetKind, TargetRecord, TargetState, WorkTokens,
};
use stakker::{Actor, CX, after, call};
use tracing::warn;

use super::router::Router;
use crate::mailbox::{Mailbox, ReplySender};
use crate::peers::{PeerMessage, Peers};
use crate::probe;

/// Answer to a message of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetAnswer {
    /// The message was accepted.
    Accepted,
    /// The target is not known and must announce itself again.
    Unknown,
    /// Too few other instances could be told that the target leaves.
    NotCopied,
    /// The incarnation of the target is too old.
    Stale {
        /// Lowest incarnation that is accepted.
        least_incarnation: Incarnation,
    },
}

/// Message to the members actor.
#[derive(Debug)]
pub enum MembersMessage {
    /// Message of a target that waits for an answer.
    Request {
        /// Content of the message.
        input: Box<MembershipInput>,
        /// Channel for the answer.
        reply: ReplySender<TargetAnswer>,
    },
    /// Event that needs no answer.
    Notify(Box<MembershipInput>),
    /// Requests the names of the live instances and targets of the data centre.
    Names(ReplySender<KnownNames>),
    /// Requests the engines of the data centre; the answer is empty unless this is
    /// the instance that calls them.
    Engines(ReplySender<Vec<EngineRecord>>),
    /// Changes of a target's prefix cache.
    CacheEvents {
        /// Id of the target.
        target: TargetId,
        /// Incarnation of the target.
        incarnation: Incarnation,
        /// Chat, number of cached prefix tokens and kind of each event.
        events: Vec<(ChatId, WorkTokens, CacheEventKind)>,
        /// Channel for the answer.
        reply: ReplySender<TargetAnswer>,
    },
}

/// Names of the instances and targets of the data centre.
#[derive(Clone, Debug, Default)]
pub struct KnownNames {
    /// Live instances by id.
    pub instances: BTreeMap<InstanceId, String>,
    /// Known targets, without those that are dead or have left.
    pub targets: BTreeSet<String>,
}

/// An engine that can receive orders.
#[derive(Clone, Debug)]
pub struct EngineRecord {
    /// Record that the engine announced.
    pub record: Arc<TargetRecord>,
    /// Whether the engine accepts new work.
    pub ready: bool,
}

/// Initial state of the actor.
#[derive(Debug)]
pub struct MembersStart {
    /// Settings of the membership protocol.
    pub settings: MembershipSettings,
    /// Record of this instance.
    pub own: InstanceRecord,
}

/// Actor that owns the records of targets and instances.
pub struct Members {
    pub(super) membership: Membership,
    own_id: InstanceId,
    router: Actor<Router>,
    mailbox: Mailbox,
    peers: Peers,
    /// Calls of leaving targets that wait until other instances know it.
    leaving: BTreeMap<TargetId, Vec<ReplySender<TargetAnswer>>>,
    tick: Duration,
    probe_timeout: Duration,
}

impl Members {
    /// Creates the actor and starts its timer.
    pub fn init(
        cx: CX![],
        start: MembersStart,
        seed: u64,
        connections: (Actor<Router>, Mailbox, Peers),
    ) -> Option<Self> {
        let MembersStart { settings, own } = start;
        let (router, mailbox, peers) = connections;
        let tick = settings.tick_period;
        let probe_timeout = settings.probe_timeout;
        after!(tick, [cx], tick());
        Some(Self {
            own_id: own.id(),
            membership: Membership::new(settings, &own, seed),
            router,
            mailbox,
            peers,
            leaving: BTreeMap::new(),
            tick,
            probe_timeout,
        })
    }

    /// Handles a message of the mailbox.
    pub fn handle_message(&mut self, cx: CX![], message: MembersMessage) {
        let now = cx.now();
        match message {
            MembersMessage::Request { input, reply } => {
                self.handle_request(*input, reply, now);
            }
            // The sends fail only if the requester no longer waits.
            MembersMessage::Names(reply) => drop(reply.try_send(self.names(now))),
            MembersMessage::Engines(reply) => drop(reply.try_send(self.engines(now))),
            MembersMessage::Notify(input) => {
                self.handle(*input, now);
            }
            MembersMessage::CacheEvents {
                target,
                incarnation,
                events,
                reply,
            } => self.cache_events(target, incarnation, events, &reply, now),
        }
    }

    /// Handles a message of a target. That of one that leaves is answered once other instances
    /// know it.
    fn handle_request(
        &mut self,
        input: MembershipInput,
        reply: ReplySender<TargetAnswer>,
        now: Instant,
    ) {
        let Some(target) = leaving_target(&input) else {
            let answer = self.handle(input, now);
            // The send fails only if the target's request no longer waits; the target
            // still sends its next message.
            let _ = reply.try_send(answer.unwrap_or(TargetAnswer::Accepted));
            return;
        };
        self.leaving.entry(target).or_default().push(reply);
        let answer = self.handle(input, now);
        if answer == Some(TargetAnswer::Unknown) {
            self.answer_leaving(target, TargetAnswer::Unknown);
        }
    }

    /// Answers the calls of a target that leaves.
    fn answer_leaving(&mut self, target: TargetId, answer: TargetAnswer) {
        for reply in self.leaving.remove(&target).into_iter().flatten() {
            // The send fails only if the target's request no longer waits.
            let _ = reply.try_send(answer);
        }
    }

    /// Announces to the other instances that this one leaves.
    pub fn leave(&mut self, cx: CX![]) {
        self.handle(MembershipInput::Shutdown, cx.now());
    }

    /// Returns the number of live routers of the data centre, this one included.
    #[must_use]
    pub fn routers(&self) -> usize {
        self.membership.routers().len()
    }

    fn names(&self, now: Instant) -> KnownNames {
        let routers = self.membership.routers().iter();
        let instances = routers.filter_map(|id| {
            let record = self.membership.instance(*id)?;
            Some((*id, record.name.clone()))
        });
        let targets = self.membership.targets(now);
        KnownNames {
            instances: instances.collect(),
            targets: targets.map(|target| target.record.name.clone()).collect(),
        }
    }

    /// Returns the engines to call. Only the live router with the lowest id calls
    /// them; on other routers the list is empty.
    fn engines(&self, now: Instant) -> Vec<EngineRecord> {
        if self.membership.routers().iter().min() != Some(&self.own_id) {
            return Vec::new();
        }
        let targets = self.membership.targets(now);
        let engines = targets.filter(|target| target.record.kind == TargetKind::Engine);
        let engines = engines.map(|target| EngineRecord {
            record: target.record,
            ready: target.takes_work,
        });
        engines.collect()
    }

    fn tick(&mut self, cx: CX![]) {
        self.handle(MembershipInput::Tick, cx.now());
        after!(self.tick, [cx], tick());
    }

    fn cache_events(
        &self,
        target: TargetId,
        incarnation: Incarnation,
        events: Vec<(ChatId, WorkTokens, CacheEventKind)>,
        reply: &ReplySender<TargetAnswer>,
        now: Instant,
    ) {
        let known = self.membership.target(target, now);
        let known = known.is_some_and(|view| view.record.incarnation == incarnation);
        if !known {
            let _ = reply.try_send(TargetAnswer::Unknown);
            return;
        }
        for (chat, tokens, kind) in events {
            call!([self.router], cache_event(target, chat, tokens, kind));
        }
        let _ = reply.try_send(TargetAnswer::Accepted);
    }

    /// Passes an input to membership, handles its outputs and returns the answer to
    /// the target, if there is one.
    fn handle(&mut self, input: MembershipInput, now: Instant) -> Option<TargetAnswer> {
        let mut answer = None;
        for output in self.membership.handle(input, now) {
            match output {
                MembershipOutput::Send { to, message, bytes } => {
                    let message = Box::new(message);
                    self.peers
                        .send(PeerMessage::Membership { to, message, bytes });
                }
                MembershipOutput::Probe {
                    target,
                    incarnation,
                    address,
                } => {
                    let mailbox = self.mailbox.clone();
                    probe::start(mailbox, target, incarnation, address, self.probe_timeout);
                }
                MembershipOutput::AnnounceReply {
                    accepted,
                    least_incarnation,
                    ..
                } => {
                    answer = Some(if accepted {
                        TargetAnswer::Accepted
                    } else {
                        TargetAnswer::Stale { least_incarnation }
                    });
                }
                MembershipOutput::HeartbeatReply { known, .. } => {
                    answer = Some(if known {
                        TargetAnswer::Accepted
                    } else {
                        TargetAnswer::Unknown
                    });
                }
                MembershipOutput::DepartureReply { target, is_copied } => {
                    let answer = if is_copied {
                        TargetAnswer::Accepted
                    } else {
                        warn!(
                            target,
                            "cannot acknowledge that a target leaves: too few other instances \
                             confirm it; refusing the call, which the target repeats"
                        );
                        TargetAnswer::NotCopied
                    };
                    self.answer_leaving(target, answer);
                }
                MembershipOutput::Changed(change) => self.handle_change(change, now),
            }
        }
        answer
    }

    fn handle_change(&self, change: MembershipChange, now: Instant) {
        match change {
            MembershipChange::Target { target, .. } | MembershipChange::Load { target } => {
                if let Some(known) = self.membership.target(target, now) {
                    call!([self.router], set_target(known));
                }
            }
            MembershipChange::Routers => {
                let routers = self.membership.routers().to_vec();
                let known = routers.iter().filter_map(|router| {
                    let address = self.membership.router_address(*router)?;
                    Some((*router, address))
                });
                self.peers.set_addresses(known.collect());
                call!([self.router], set_routers(routers));
            }
            // No actor uses these changes.
            MembershipChange::DataCentre { .. } | MembershipChange::IncarnationRaised { .. } => {}
        }
    }
}

/// Returns the target whose message says that it takes no new work.
const fn leaving_target(input: &MembershipInput) -> Option<TargetId> {
    match input {
        MembershipInput::Leave { target, .. }
        | MembershipInput::Heartbeat {
            target,
            state: TargetState::Draining | TargetState::Gone,
            ..
        } => Some(*target),
        _ => None,
    }
}
