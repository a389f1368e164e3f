//! Queries for settings, the audit trail and the state of the control group.

use std::collections::BTreeMap;
use std::time::Instant;

use bamboospur_agreement::Role as GroupRole;
use bamboospur_control::operator::{
    Action, HistoryResponse, MemberView, MembersResponse, ResponseMeta, StatusResponse,
};
use bamboospur_settings::AuditQuery;
use bamboospur_types::{InstanceId, ResultCode, stable_id};

use super::Page;
use super::control::{Query, Refusal, authorize, inspect, page, refusal};
use crate::actors::{GroupView, Inspect, KnownNames, MembersMessage};
use crate::edge::IncomingRequest;
use crate::mailbox::MainLoopMessage;
use crate::request::Node;

/// Most entries of the audit trail in one answer when the request sets no limit.
const DEFAULT_HISTORY_LIMIT: u64 = 100;

pub(super) fn tree(
    node: &Node,
    incoming: &IncomingRequest,
    query: &Query,
) -> Result<Page, Refusal> {
    let secrets = query.text("secrets") == Some("true");
    let action = if secrets {
        Action::ReadSecrets
    } else {
        Action::Read
    };
    authorize(node, incoming, action)?;
    let path = query.text("path").unwrap_or_default().to_owned();
    let answer = inspect(node, |reply| Inspect::Tree {
        path,
        secrets,
        reply,
    })?;
    Ok(page(&answer.head, &answer))
}

pub(super) fn history(
    node: &Node,
    incoming: &IncomingRequest,
    query: &Query,
) -> Result<Page, Refusal> {
    authorize(node, incoming, Action::Read)?;
    let limit = query.number("limit")?.unwrap_or(DEFAULT_HISTORY_LIMIT);
    let query = AuditQuery {
        path: query.text("path").map(str::to_owned),
        before: query.number("before")?,
        limit: usize::try_from(limit).unwrap_or(usize::MAX),
    };
    let entries = inspect(node, |reply| Inspect::History { query, reply })?;
    let entries = entries.ok_or_else(|| no_replica(node))?;
    let head = ResponseMeta::ok();
    Ok(page(&head.clone(), &HistoryResponse { head, entries }))
}

pub(super) fn status(node: &Node, incoming: &IncomingRequest) -> Result<Page, Refusal> {
    authorize(node, incoming, Action::Read)?;
    let view = inspect(node, Inspect::Group)?;
    let names = Names::collect(node);
    let member = view.member.as_ref();
    let replica = member.map(|member| &member.replica);
    let leaderless_ms = view.leaderless_since.map(|since| millis(since.elapsed()));
    let head = ResponseMeta::ok();
    let answer = StatusResponse {
        head: head.clone(),
        instance: node.settings.name.clone(),
        role: replica.map_or_else(|| "follower-only".to_owned(), |r| r.role.to_string()),
        term: replica.map_or(0, |replica| replica.term),
        leader: view.leader.map(|leader| names.name(leader)),
        leaderless_ms,
        revision_in_force: view.revision,
        commit_index: replica.map_or(0, |replica| replica.commit_index),
        claims: member.map_or(0, |member| member.claims as u64),
        violations: view.violations + node.violations(),
        violation_messages: violation_messages(&view),
    };
    Ok(page(&head, &answer))
}

fn violation_messages(view: &GroupView) -> Vec<String> {
    let mut messages = view.violation_messages.clone();
    if let Some(member) = &view.member {
        messages.extend(member.violations.messages.iter().cloned());
    }
    messages
}

pub(super) fn members(node: &Node, incoming: &IncomingRequest) -> Result<Page, Refusal> {
    authorize(node, incoming, Action::Read)?;
    members_page(node)
}

/// Answers with the members of the control group as this instance knows them.
pub(super) fn members_page(node: &Node) -> Result<Page, Refusal> {
    let view = inspect(node, Inspect::Group)?;
    let member = view.member.as_ref().ok_or_else(|| no_replica(node))?;
    let replica = &member.replica;
    let is_leader = replica.role == GroupRole::Leader;
    let names = Names::collect(node);
    let own = stable_id(&node.settings.name);
    let members = replica.members.current.iter().map(|(id, member)| {
        let mut peers = replica.peers.iter();
        let peer = peers.find(|(peer, _, _)| is_leader && peer == id);
        let (acknowledged_index, silent_ms) = match peer {
            Some((_, index, at)) => (Some(*index), Some(millis(elapsed_since(*at)))),
            None if is_leader && *id == own => (Some(replica.synced_index), Some(0)),
            None => (None, None),
        };
        MemberView {
            instance: names.name(*id),
            kind: member.kind.to_string(),
            leader: view.leader == Some(*id),
            acknowledged_index,
            silent_ms,
        }
    });
    let head = ResponseMeta::ok();
    let answer = MembersResponse {
        head: head.clone(),
        members: members.collect(),
    };
    Ok(page(&head, &answer))
}

fn elapsed_since(at: Instant) -> std::time::Duration {
    Instant::now().saturating_duration_since(at)
}

/// Converts a duration to milliseconds; one that overflows becomes the maximum.
pub(super) fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Refuses a query that only an instance with a replica can answer.
pub(super) fn no_replica(node: &Node) -> Refusal {
    let names = node.settings.control.iter();
    let names: Vec<&str> = names.map(|member| member.name.as_str()).collect();
    let message = format!(
        "this instance holds no replica of the control group: ask one of {}",
        names.join(", ")
    );
    refusal(ResultCode::NoLeader, &message)
}

/// Names of instances, from settings and membership.
pub(super) struct Names {
    instances: BTreeMap<InstanceId, String>,
    /// Names of instances and targets from membership. Targets that have left are
    /// not included.
    pub(super) known: KnownNames,
}

impl Names {
    /// Collects the names known to this node.
    pub(super) fn collect(node: &Node) -> Self {
        let known = node
            .mailbox
            .request(|reply| MainLoopMessage::Members(MembersMessage::Names(reply)));
        let known = known.unwrap_or_default();
        let mut instances = known.instances.clone();
        let settings = &node.settings;
        let listed = settings.control.iter().map(|member| &member.name);
        for name in listed.chain([&settings.name]) {
            instances.insert(stable_id(name), name.clone());
        }
        Self { instances, known }
    }

    /// Returns the name of an instance, or its id in hexadecimal when the name is
    /// not known.
    pub(super) fn name(&self, id: InstanceId) -> String {
        let known = self.instances.get(&id).cloned();
        known.unwrap_or_else(|| format!("{id:016x}"))
    }

    /// Returns the id of the instance with this name; `None` when no such instance
    /// is known.
    pub(super) fn instance(&self, name: &str) -> Option<InstanceId> {
        let id = stable_id(name);
        self.instances.contains_key(&id).then_some(id)
    }
}
