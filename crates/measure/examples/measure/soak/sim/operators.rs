//! Operators that send competing changes with equal base versions, and resend changes
//! after lost answers.

use bamboospur_control::{Command, MemberError, Reply, Request, Response};
use bamboospur_settings::{BranchName, Change, Edit, Value};

use super::control::fleet_settings;
use super::message::{Message, Node};
use super::world::{Event, World};

const REPLY_TIMEOUT_US: u64 = 700_000;

#[derive(Default)]
pub struct Operator {
    /// Change in progress and the name of its branch.
    change: Option<(Change, String)>,
    ticket: u64,
    due_us: u64,
    leader: Option<u64>,
    /// Whether the change in progress is resent although its answer arrived.
    was_resent: bool,
}

impl World {
    pub fn operator_turn(&mut self, index: usize) {
        if self.operators[index].due_us > self.now_us {
            return;
        }
        if self.operators[index].change.is_none() {
            if self.is_settling() {
                return;
            }
            let change = self.new_change(index);
            self.operators[index].change = Some(change);
        }
        let Some((change, _)) = self.operators[index].change.clone() else {
            return;
        };
        let up: Vec<u64> = self
            .members
            .values()
            .filter(|m| m.start_number() > 0)
            .map(|m| m.id)
            .collect();
        let any = if up.is_empty() {
            1
        } else {
            up[self.random_index(up.len())]
        };
        let to = self.operators[index].leader.take().unwrap_or(any);
        let ticket = self.next_id();
        self.operators[index].ticket = ticket;
        let request = Box::new(Request::Command(Command::Change(change)));
        self.send(
            Node::Operator(index),
            Node::Member(to),
            Message::ControlRequest(ticket, request),
        );
        self.schedule_operator(index, REPLY_TIMEOUT_US);
    }

    fn schedule_operator(&mut self, index: usize, wait_us: u64) {
        self.operators[index].due_us = self.now_us + wait_us;
        self.schedule_after(wait_us, Event::Timer(Node::Operator(index), 0));
    }

    fn new_change(&mut self, index: usize) -> (Change, String) {
        let number = self.next_id();
        let id = format!("c{number}");
        let first = index == 0 && self.oracle.accepted.is_empty();
        let replicas = 4 + self.random_below(4);
        let wants_fleet = first || self.random_below(8) == 0;
        let team = format!("t{}", self.random_below(4));
        let (path, branch, edit) = if wants_fleet {
            let value = fleet_settings(replicas);
            ("fleet".to_owned(), BranchName::Fleet, value)
        } else {
            let value = Value::Integer(i64::try_from(self.random_below(10)).unwrap_or(0));
            (
                format!("teams.{team}.priority"),
                BranchName::Team(team),
                value,
            )
        };
        let readers: Vec<u64> = self
            .members
            .values()
            .filter(|m| m.start_number() > 0)
            .map(|m| m.id)
            .collect();
        let reader = readers.first().copied().unwrap_or(0);
        let base_version = self.version_at(reader, &branch);
        let path = path.parse().expect("the settings path is valid");
        let change = Change {
            id,
            operator: format!("op-{index}"),
            path,
            base_version,
            edit: Edit::Set(edit),
        };
        (change, branch.to_string())
    }

    pub fn operator_message(&mut self, index: usize, message: Message) {
        let Message::ControlReply(ticket, answer) = message else {
            return;
        };
        if ticket != self.operators[index].ticket {
            return;
        }
        // One answer in ten is lost.
        if self.random_below(10) == 0 {
            return;
        }
        match *answer {
            Ok(Response::Applied(Reply::Change(answer))) => {
                let Some((change, branch)) = self.operators[index].change.clone() else {
                    return;
                };
                if let Ok(accepted) = &answer {
                    let revision = accepted.revision;
                    self.add_trace(format!("change {} is revision {revision}", change.id));
                    if !self.oracle.accepted.contains_key(&revision) {
                        self.schedule_after(4_000_000, Event::CheckChange(revision));
                    }
                }
                self.oracle
                    .change_answered(&change.id, &branch, change.base_version, &answer);
                let resend = !self.operators[index].was_resent && self.random_below(4) == 0;
                self.operators[index].was_resent = resend;
                if !resend {
                    self.operators[index].change = None;
                }
            }
            Err(MemberError::Invalid { .. }) => self.operators[index].change = None,
            Err(MemberError::NotLeader { leader }) => self.operators[index].leader = leader,
            _ => {}
        }
        // Waits for a multiple of 300 ms, so that both operators often send at the same time.
        let wait_us = 300_000 - self.now_us % 300_000;
        self.schedule_operator(index, wait_us);
    }
}
