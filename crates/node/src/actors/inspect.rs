//! Control actor: questions of operators about this instance and the group.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_agreement::Ticket;
use bamboospur_control::operator::{TreeResponse, read_tree};
use bamboospur_control::{
    Member, MemberStatus, Request, Response, RouterReport, decode_response, encode_request,
};
use bamboospur_settings::{AuditEntry, AuditQuery, BranchName, Revision};
use bamboospur_types::InstanceId;
use bamboospur_wire::link::Frame;
use tracing::error;

use super::control::Control;
use crate::mailbox::Reply;

/// Silent instances are forgotten after this time: by then an instance that is
/// cut off has been seen by an operator, and one that was removed has not come
/// back.
const FORGET: Duration = Duration::from_mins(10);
/// Questions to other members that wait at once.
const MAX_ASKED: usize = 1024;

/// Question about the state of this instance.
#[derive(Debug)]
pub enum Inspect {
    /// Asks for a value of the settings in force here.
    Tree {
        /// Path of the value.
        path: String,
        /// Whether hashes of secrets are shown.
        secrets: bool,
        /// Where the answer goes.
        reply: Reply<TreeResponse>,
    },
    /// Asks for the version of a branch.
    Version {
        /// The branch.
        branch: BranchName,
        /// Where the answer goes.
        reply: Reply<Revision>,
    },
    /// Asks for the audit trail; `None` without a replica.
    History {
        /// Selection.
        query: AuditQuery,
        /// Where the answer goes.
        reply: Reply<Option<Vec<AuditEntry>>>,
    },
    /// Asks for the state of the replica and of the links.
    Group(Reply<GroupView>),
    /// Asks another member which routers follow it.
    Routers {
        /// The other member.
        member: InstanceId,
        /// Where the answer goes.
        reply: Reply<Vec<RouterReport>>,
    },
}

/// State of the replica and of the links.
#[derive(Clone, Debug)]
pub struct GroupView {
    /// State of the replica; none on an instance that only follows.
    pub member: Option<MemberStatus>,
    /// Leader, when known.
    pub leader: Option<InstanceId>,
    /// Since when no leader is known.
    pub leaderless_since: Option<Instant>,
    /// Revision in force here.
    pub revision: Revision,
    /// Other instances that have a link to this one, or had one lately.
    pub routers: Vec<RouterReport>,
    /// Members of the group with a link.
    pub members: Vec<InstanceId>,
    /// Invariants found broken.
    pub violations: u64,
    /// Last of them.
    pub violation_messages: Vec<String>,
}

/// When other instances were last heard, and their revision.
#[derive(Debug, Default)]
pub struct Seen {
    last: BTreeMap<InstanceId, (Revision, Instant)>,
}

impl Seen {
    /// Notes what an instance reported.
    pub fn heard(&mut self, id: InstanceId, revision: Revision, now: Instant) {
        self.last.insert(id, (revision, now));
        self.last
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < FORGET);
    }
}

impl Control {
    /// Answers a question.
    pub(super) fn inspect(&mut self, ask: Inspect, now: Instant) {
        let tree = self.follower.tree();
        // An operator that no longer waits needs no answer.
        match ask {
            Inspect::Tree {
                path,
                secrets,
                reply,
            } => drop(reply.try_send(read_tree(tree, &path, secrets))),
            Inspect::Version { branch, reply } => drop(reply.try_send(tree.version(&branch))),
            Inspect::History { query, reply } => {
                let settings = self.member.as_ref().map(|m| m.state().settings());
                let entries = settings.map(|settings| settings.audit(&query));
                let _ = reply.try_send(entries);
            }
            Inspect::Group(reply) => drop(reply.try_send(self.group_view(now))),
            Inspect::Routers { member, reply } => self.ask_member(member, reply),
        }
    }

    fn group_view(&self, now: Instant) -> GroupView {
        let links = self.peers.links().borrow();
        let uplink = links.uplink().and_then(|link| links.get(link));
        GroupView {
            member: self.member.as_ref().map(Member::status),
            leader: self.leader.or_else(|| uplink.and_then(|link| link.leader)),
            leaderless_since: self.contact.lost_at.map(|(since, _)| since),
            revision: self.follower.revision(),
            routers: self.router_reports(now),
            members: links.members(),
            violations: self.broken_invariants(),
            violation_messages: self.violation_messages.iter().cloned().collect(),
        }
    }

    /// Returns what is known about the instances with a link to this one.
    pub(super) fn router_reports(&self, now: Instant) -> Vec<RouterReport> {
        let links = self.peers.links().borrow();
        let reports = self.seen.last.iter().map(|(id, (revision, at))| {
            let silent = now.saturating_duration_since(*at);
            RouterReport {
                id: *id,
                revision: *revision,
                silent_ms: u64::try_from(silent.as_millis()).unwrap_or(u64::MAX),
                connected: links.link_to(*id).is_some(),
            }
        });
        reports.collect()
    }

    fn ask_member(&mut self, member: InstanceId, reply: Reply<Vec<RouterReport>>) {
        // Questions without an answer make room for new ones.
        while self.asked.len() >= MAX_ASKED {
            self.asked.pop_first();
        }
        let Ok(body) = encode_request(&Request::Routers) else {
            return;
        };
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let links = self.peers.links().borrow();
        let frame = Frame::Request { ticket, body };
        // Without an answer the member counts as cut off.
        if links
            .link_to(member)
            .is_some_and(|link| links.send(link, frame))
        {
            self.asked.insert(ticket, reply);
        }
    }

    /// Takes the answer of another member to a question.
    pub(super) fn asked_answered(&mut self, ticket: Ticket, body: &[u8]) {
        let Some(reply) = self.asked.remove(&ticket) else {
            return;
        };
        match decode_response(body) {
            Ok(Ok(Response::Routers(routers))) => drop(reply.try_send(routers)),
            Ok(_) => {}
            Err(error) => error!(%error, "a reply cannot be read"),
        }
    }
}
