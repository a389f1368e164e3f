//! Runs the state machines of the control members.

use std::collections::BTreeSet;

use bamboospur_agreement::{Members, PersistedState, ReplicaSettings, Role};
use bamboospur_control::{Member as Core, MemberInput, MemberOutput, MemberSettings};
use bamboospur_settings::{Diff, Value};

use super::disk::Disk;
use super::message::{Message, Node};
use super::oracle::ViolationKind;
use super::world::{DATA_CENTRES, DRIFT_MS, Event, TARGETS, World};

const MEMBERS: u64 = 3;
const TICK_US: u64 = 10_000;
const ORDER_DEADLINE_MS: u64 = 1_500;

pub struct Member {
    pub id: u64,
    pub data_centre: usize,
    pub core: Option<Core>,
    pub disk: Disk,
    starts: u64,
    /// Routers that get the changes of the settings from this member.
    followers: BTreeSet<usize>,
    /// The disk is lost, and the process does not start again.
    pub is_lost: bool,
}

impl Member {
    /// Number of the current start, or 0 while the process is down.
    pub const fn start_number(&self) -> u64 {
        if self.core.is_some() { self.starts } else { 0 }
    }
}

/// The fleet branch of the settings, with the number of wanted replicas.
pub fn fleet_settings(replicas: u64) -> Value {
    let text = format!(
        "[pools.gpu]\nkind = \"engine\"\n\
         [models.chat]\npool = \"gpu\"\nversions = {{ \"1\" = {{ replicas = {replicas} }} }}\n\
         [orders]\nloads_per_minute = 600\ndeadline_ms = {ORDER_DEADLINE_MS}\nclock_drift_ms = {DRIFT_MS}"
    );
    Value::parse_toml(&text).expect("the fleet settings are valid TOML")
}

pub const fn disk_id(id: u64) -> u64 {
    100 + id
}

impl World {
    pub fn bootstrap_members(&mut self) {
        let voters: Vec<_> = (1..=MEMBERS).map(|id| (id, disk_id(id))).collect();
        for id in 1..=MEMBERS {
            self.add_member(id, usize::try_from(id).unwrap_or(0) % DATA_CENTRES);
            if let Some(member) = self.members.get_mut(&id) {
                member
                    .disk
                    .write(PersistedState::bootstrap(Members::from_voters(&voters)).to_persist());
                member.disk.sync(0);
            }
            self.start_member(id);
        }
        self.next_member = MEMBERS + 1;
    }

    pub fn add_member(&mut self, id: u64, data_centre: usize) {
        let member = Member {
            id,
            data_centre,
            core: None,
            disk: Disk::default(),
            starts: 0,
            followers: BTreeSet::new(),
            is_lost: false,
        };
        self.members.insert(id, member);
    }

    pub fn start_member(&mut self, id: u64) {
        let process = self.random_below(u64::MAX);
        let node = Node::Member(id);
        let now = self.instant(node);
        let settings = MemberSettings {
            replica: ReplicaSettings {
                id,
                disk: disk_id(id),
                snapshot_chunk_bytes: 4_000,
                trailing_log_bytes: 4_000,
                ..ReplicaSettings::default()
            },
            process,
            snapshot_entries: 200,
            ..MemberSettings::default()
        };
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        if member.core.is_some() || member.is_lost {
            return;
        }
        member.starts += 1;
        member.followers.clear();
        let restored = member.disk.durable.clone();
        member.core = Some(Core::new(settings, restored, process, now));
        let start_number = member.starts;
        self.schedule_after(TICK_US, Event::Timer(node, start_number));
    }

    pub fn crash_member(&mut self, id: u64) {
        let kept = self.random_index(4);
        if let Some(member) = self.members.get_mut(&id) {
            member.core = None;
            member.disk.crash(kept);
        }
    }

    pub fn member_tick(&mut self, id: u64) {
        let node = Node::Member(id);
        let now = self.instant(node);
        let Some(core) = self
            .members
            .get(&id)
            .and_then(|member| member.core.as_ref())
        else {
            return;
        };
        let due = now >= core.next_deadline();
        let leads = core.status().replica.role == Role::Leader;
        if due {
            self.member_input(id, MemberInput::Tick);
        }
        if leads && self.now_us % 500_000 < TICK_US {
            let at = self.wall_time(node);
            for target in 0..TARGETS {
                self.send(node, Node::Target(target), Message::Query(at));
            }
        }
        let start_number = self.start_number(node);
        self.schedule_after(TICK_US, Event::Timer(node, start_number));
    }

    pub fn disk_synced(&mut self, id: u64, start_number: u64, sequence: u64) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        if member.start_number() == start_number {
            member.disk.sync(sequence);
            self.member_input(id, MemberInput::Synced { sequence });
        }
    }

    pub fn member_message(&mut self, id: u64, from: Node, message: Message) {
        match (message, from) {
            (Message::Peer(message), Node::Member(from)) => {
                let message = *message;
                self.member_input(id, MemberInput::PeerMessage { from, message });
            }
            (Message::ControlRequest(ticket, request), _) => {
                let own = self.next_id();
                self.open_control_requests.insert(own, (from, ticket));
                let request = *request;
                self.member_input(
                    id,
                    MemberInput::Request {
                        ticket: own,
                        request,
                    },
                );
            }
            (Message::Follow(ticket, since), Node::Router(router)) => {
                let Some(member) = self.members.get_mut(&id) else {
                    return;
                };
                member.followers.insert(router);
                let Some(core) = &member.core else {
                    return;
                };
                let diff = core.state().settings().changes_since(since);
                let led = core.status().replica.leader.is_some();
                let answer = Message::FollowReply(ticket, Box::new(diff), led);
                self.send(Node::Member(id), from, answer);
            }
            (Message::OrderEnded(target, fencing, result), _) => {
                let input = MemberInput::OrderResult {
                    target,
                    fencing,
                    result,
                };
                self.member_input(id, input);
            }
            (Message::Report(target, report), _) => {
                let report = *report;
                self.member_input(id, MemberInput::Report { target, report });
            }
            _ => {}
        }
    }

    fn member_input(&mut self, id: u64, input: MemberInput) {
        let node = Node::Member(id);
        let (now, at) = (self.instant(node), self.wall_time(node));
        let core = self
            .members
            .get_mut(&id)
            .and_then(|member| member.core.as_mut());
        let Some(core) = core else {
            return;
        };
        for output in core.handle(input, now, at) {
            self.member_output(id, output);
        }
    }

    fn member_output(&mut self, id: u64, output: MemberOutput) {
        let node = Node::Member(id);
        match output {
            MemberOutput::Persist(write) => {
                let sequence = write.sequence;
                let start_number = self.start_number(node);
                if let Some(member) = self.members.get_mut(&id) {
                    member.disk.write(write);
                }
                let wait_us = 500 + self.random_below(5_000);
                self.schedule_after(wait_us, Event::Synced(id, start_number, sequence));
            }
            MemberOutput::Send { to, message } => {
                self.send(node, Node::Member(to), Message::Peer(Box::new(message)));
            }
            MemberOutput::Reply { ticket, answer } => {
                if let Some((to, ticket)) = self.open_control_requests.remove(&ticket) {
                    self.send(node, to, Message::ControlReply(ticket, Box::new(answer)));
                }
            }
            MemberOutput::Settings(diff) => self.push_settings(id, &diff),
            MemberOutput::Order(order) => {
                let index = self.targets.iter().position(|t| t.id == order.target);
                if let Some(index) = index {
                    self.send(node, Node::Target(index), Message::Order(Box::new(order)));
                }
            }
            MemberOutput::Leadership { term, leader } => {
                self.add_trace(format!("member {id}: leader {leader:?} in term {term}"));
            }
            MemberOutput::MembersChanged { .. } => {}
            MemberOutput::Identity(problem) => {
                self.add_trace(format!("member {id}: {problem}"));
            }
            MemberOutput::Violation(what) | MemberOutput::Fatal(what) => {
                self.fail(ViolationKind::Internal, format!("member {id}: {what}"));
            }
        }
    }

    fn push_settings(&mut self, id: u64, diff: &Diff) {
        let Some(member) = self.members.get(&id) else {
            return;
        };
        for router in member.followers.clone() {
            let message = Message::Settings(Box::new(diff.clone()));
            self.send(Node::Member(id), Node::Router(router), message);
        }
    }
}
