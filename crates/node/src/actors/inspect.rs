//! Control actor: queries of operators about this instance and the control group.

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
use crate::mailbox::ReplySender;

/// Time without messages after which an instance is no longer listed. An operator
/// has time to notice an instance that is cut off, and an instance that is still
/// silent then was probably removed.
const FORGET_AFTER: Duration = Duration::from_mins(10);
/// Unanswered queries to other members at one time.
const MAX_MEMBER_QUERIES: usize = 1024;

/// Query about the state of this instance or of another member.
#[derive(Debug)]
pub enum Inspect {
    /// Reads a value of the settings in force on this instance.
    Tree {
        /// Path of the value in the settings tree.
        path: String,
        /// Whether the answer includes hashes of secrets.
        secrets: bool,
        /// Channel for the answer.
        reply: ReplySender<TreeResponse>,
    },
    /// Reads the version of a branch of the settings.
    Version {
        /// Name of the branch.
        branch: BranchName,
        /// Channel for the answer.
        reply: ReplySender<Revision>,
    },
    /// Reads the audit trail; the answer is `None` without a replica.
    History {
        /// Filter for the entries.
        query: AuditQuery,
        /// Channel for the answer.
        reply: ReplySender<Option<Vec<AuditEntry>>>,
    },
    /// Reads the state of the replica and of the links.
    Group(ReplySender<GroupView>),
    /// Asks another member of the group which instances have links to it. No
    /// answer follows if the member does not answer.
    Routers {
        /// Id of the other member.
        member: InstanceId,
        /// Channel for the answer.
        reply: ReplySender<Vec<RouterReport>>,
    },
}

/// State of the replica and of the links.
#[derive(Clone, Debug)]
pub struct GroupView {
    /// State of the replica; `None` on an instance that only follows.
    pub member: Option<MemberStatus>,
    /// Leader of the control group; `None` when this instance knows none.
    pub leader: Option<InstanceId>,
    /// Time since which no leader is known; `None` while one is known.
    pub leaderless_since: Option<Instant>,
    /// Revision of the settings in force on this instance.
    pub revision: Revision,
    /// Other instances that have a link to this one, or had one in the last 10
    /// minutes.
    pub routers: Vec<RouterReport>,
    /// Members of the control group to which this instance has a link.
    pub members: Vec<InstanceId>,
    /// Number of invariant violations found.
    pub violations: u64,
    /// Descriptions of the most recent violations, newest last.
    pub violation_messages: Vec<String>,
}

/// Time and revision of the last message from each other instance.
#[derive(Debug, Default)]
pub struct HeardInstances {
    last: BTreeMap<InstanceId, (Revision, Instant)>,
}

impl HeardInstances {
    /// Records a message from an instance and removes instances that have been silent
    /// for too long.
    pub fn record(&mut self, id: InstanceId, revision: Revision, now: Instant) {
        self.last.insert(id, (revision, now));
        self.last
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < FORGET_AFTER);
    }
}

impl Control {
    /// Answers a query.
    pub(super) fn inspect(&mut self, query: Inspect, now: Instant) {
        let tree = self.follower.tree();
        // Sends to the reply channel fail only if the operator's request no longer
        // waits.
        match query {
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
            Inspect::Routers { member, reply } => self.query_member(member, reply),
        }
    }

    fn group_view(&self, now: Instant) -> GroupView {
        let links = self.peers.links().borrow();
        let uplink = links.uplink().and_then(|link| links.get(link));
        GroupView {
            member: self.member.as_ref().map(Member::status),
            leader: self.leader.or_else(|| uplink.and_then(|link| link.leader)),
            leaderless_since: self.leader_contact.lost_at.map(|(since, _)| since),
            revision: self.follower.revision(),
            routers: self.router_reports(now),
            members: links.members(),
            violations: self.violation_count(),
            violation_messages: self.violation_messages.iter().cloned().collect(),
        }
    }

    /// Returns the last report and link state of each other instance.
    pub(super) fn router_reports(&self, now: Instant) -> Vec<RouterReport> {
        let links = self.peers.links().borrow();
        let reports = self
            .heard_instances
            .last
            .iter()
            .map(|(id, (revision, at))| {
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

    fn query_member(&mut self, member: InstanceId, reply: ReplySender<Vec<RouterReport>>) {
        // The oldest unanswered queries are dropped to make room.
        while self.member_queries.len() >= MAX_MEMBER_QUERIES {
            self.member_queries.pop_first();
        }
        let Ok(body) = encode_request(&Request::Routers) else {
            return;
        };
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let links = self.peers.links().borrow();
        let frame = Frame::Request { ticket, body };
        // If the request cannot be sent, no answer follows and the operator's request
        // counts the member as cut off.
        if links
            .link_to(member)
            .is_some_and(|link| links.send(link, frame))
        {
            self.member_queries.insert(ticket, reply);
        }
    }

    /// Passes another member's answer to the query that asked for it.
    pub(super) fn handle_query_reply(&mut self, ticket: Ticket, body: &[u8]) {
        let Some(reply) = self.member_queries.remove(&ticket) else {
            return;
        };
        match decode_response(body) {
            Ok(Ok(Response::Routers(routers))) => drop(reply.try_send(routers)),
            Ok(_) => {}
            Err(error) => {
                error!(%error, "failed to decode the answer to a query; dropping it");
            }
        }
    }
}
