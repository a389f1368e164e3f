//! Members actor: targets and instances.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bamboospur_membership::{
    InstanceRecord, Membership, MembershipChange, MembershipInput, MembershipOutput,
    MembershipSettings,
};
use bamboospur_placement::CacheEventKind;
use bamboospur_types::{
    ChatId, Incarnation, InstanceId, TargetId, TargetKind, TargetRecord, WorkTokens,
};
use stakker::{Actor, CX, after, call};

use super::router::Router;
use crate::mailbox::{Mailbox, Reply};
use crate::peers::{PeerMessage, Peers};
use crate::probe;

/// Answer to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetAnswer {
    /// The message was taken.
    Accepted,
    /// The target must announce itself again.
    Unknown,
    /// The incarnation is too old.
    Stale {
        /// Least incarnation that is accepted.
        least_incarnation: Incarnation,
    },
}

/// Message to the members actor.
#[derive(Debug)]
pub enum MembersMessage {
    /// A message of a target that waits for an answer.
    Request {
        /// What the target said.
        input: Box<MembershipInput>,
        /// Where the answer goes.
        reply: Reply<TargetAnswer>,
    },
    /// An event without an answer.
    Notify(Box<MembershipInput>),
    /// Asks for the names of live instances and of targets of the data centre.
    Names(Reply<KnownNames>),
    /// Asks for the engines of the data centre, if this is the instance that
    /// calls them.
    Engines(Reply<Vec<EngineRecord>>),
    /// A target reported changes of its cache.
    CacheEvents {
        /// Target.
        target: TargetId,
        /// Incarnation of the target.
        incarnation: Incarnation,
        /// Chat, cached tokens and kind of each event.
        events: Vec<(ChatId, WorkTokens, CacheEventKind)>,
        /// Where the answer goes.
        reply: Reply<TargetAnswer>,
    },
}

/// Names known in the data centre.
#[derive(Clone, Debug, Default)]
pub struct KnownNames {
    /// Live instances.
    pub instances: BTreeMap<InstanceId, String>,
    /// Targets that have not gone.
    pub targets: BTreeSet<String>,
}

/// An engine that orders can go to.
#[derive(Clone, Debug)]
pub struct EngineRecord {
    /// What the engine announced.
    pub record: Arc<TargetRecord>,
    /// Whether it takes work.
    pub ready: bool,
}

/// What the actor starts with.
#[derive(Debug)]
pub struct MembersStart {
    /// Settings of membership.
    pub settings: MembershipSettings,
    /// Record of this instance.
    pub own: InstanceRecord,
}

/// Owner of target and instance records.
pub struct Members {
    pub(super) membership: Membership,
    own: InstanceId,
    router: Actor<Router>,
    mailbox: Mailbox,
    peers: Peers,
    tick: Duration,
    probe_timeout: Duration,
}

impl Members {
    /// Creates the actor.
    pub fn init(
        cx: CX![],
        start: MembersStart,
        seed: u64,
        links: (Actor<Router>, Mailbox, Peers),
    ) -> Option<Self> {
        let MembersStart { settings, own } = start;
        let (router, mailbox, peers) = links;
        let tick = settings.tick_period;
        let probe_timeout = settings.probe_timeout;
        after!(tick, [cx], tick());
        Some(Self {
            own: own.id(),
            membership: Membership::new(settings, &own, seed),
            router,
            mailbox,
            peers,
            tick,
            probe_timeout,
        })
    }

    /// Takes a message.
    pub fn handle_message(&mut self, cx: CX![], handle_message: MembersMessage) {
        let now = cx.now();
        match handle_message {
            MembersMessage::Request { input, reply } => {
                let answer = self.handle(*input, now);
                // A target that no longer waits sends its next message all the same.
                let _ = reply.try_send(answer.unwrap_or(TargetAnswer::Accepted));
            }
            // Those who ask may no longer wait.
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

    /// Tells the other instances that this one leaves.
    pub fn leave(&mut self, cx: CX![]) {
        self.handle(MembershipInput::Shutdown, cx.now());
    }

    /// Returns the live routers, this one included.
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

    /// The live router with the lowest id calls the engines.
    fn engines(&self, now: Instant) -> Vec<EngineRecord> {
        if self.membership.routers().iter().min() != Some(&self.own) {
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
        reply: &Reply<TargetAnswer>,
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

    /// Passes an input on and carries out what comes out.
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
                MembershipOutput::Changed(change) => self.changed(change, now),
            }
        }
        answer
    }

    fn changed(&self, change: MembershipChange, now: Instant) {
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
            // Both matter only once there are links to other instances.
            MembershipChange::DataCentre { .. } | MembershipChange::IncarnationRaised { .. } => {}
        }
    }
}
