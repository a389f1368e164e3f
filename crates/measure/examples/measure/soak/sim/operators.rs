//! Operators that race with equal versions and resend after lost answers.

use bamboospur_control::{Command, MemberError, Reply, Request, Response};
use bamboospur_settings::{BranchName, Change, Edit, Value};

use super::control::fleet;
use super::message::{Message, Node};
use super::world::{Event, World};

const PATIENCE_US: u64 = 700_000;

#[derive(Default)]
pub struct Operator {
    change: Option<(Change, String)>,
    ticket: u64,
    due_us: u64,
    leader: Option<u64>,
    again: bool,
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
            .filter(|m| m.running() > 0)
            .map(|m| m.id)
            .collect();
        let any = if up.is_empty() {
            1
        } else {
            up[self.index(up.len())]
        };
        let to = self.operators[index].leader.take().unwrap_or(any);
        let ticket = self.number();
        self.operators[index].ticket = ticket;
        let request = Box::new(Request::Command(Command::Change(change)));
        self.send(
            Node::Operator(index),
            Node::Member(to),
            Message::Ask(ticket, request),
        );
        self.operator_wakes(index, PATIENCE_US);
    }

    fn operator_wakes(&mut self, index: usize, wait_us: u64) {
        self.operators[index].due_us = self.now_us + wait_us;
        self.after(wait_us, Event::Timer(Node::Operator(index), 0));
    }

    fn new_change(&mut self, index: usize) -> (Change, String) {
        let number = self.number();
        let id = format!("c{number}");
        let first = index == 0 && self.oracle.accepted.is_empty();
        let replicas = 4 + self.below(4);
        let wants_fleet = first || self.below(8) == 0;
        let team = format!("t{}", self.below(4));
        let (path, branch, edit) = if wants_fleet {
            let value = fleet(replicas);
            ("fleet".to_owned(), BranchName::Fleet, value)
        } else {
            let value = Value::Integer(i64::try_from(self.below(10)).unwrap_or(0));
            (
                format!("teams.{team}.priority"),
                BranchName::Team(team),
                value,
            )
        };
        let readers: Vec<u64> = self
            .members
            .values()
            .filter(|m| m.running() > 0)
            .map(|m| m.id)
            .collect();
        let reader = readers.first().copied().unwrap_or(0);
        let base_version = self.version_at(reader, &branch);
        let path = path.parse().expect("a path");
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
        let Message::Reply(ticket, answer) = message else {
            return;
        };
        if ticket != self.operators[index].ticket {
            return;
        }
        // An answer that gets lost.
        if self.below(10) == 0 {
            return;
        }
        match *answer {
            Ok(Response::Applied(Reply::Change(answer))) => {
                let Some((change, branch)) = self.operators[index].change.clone() else {
                    return;
                };
                if let Ok(accepted) = &answer {
                    let revision = accepted.revision;
                    self.note(format!("change {} is revision {revision}", change.id));
                    if !self.oracle.accepted.contains_key(&revision) {
                        self.after(4_000_000, Event::CheckChange(revision));
                    }
                }
                self.oracle
                    .change_answered(&change.id, &branch, change.base_version, &answer);
                let resend = !self.operators[index].again && self.below(4) == 0;
                self.operators[index].again = resend;
                if !resend {
                    self.operators[index].change = None;
                }
            }
            Err(MemberError::Invalid { .. }) => self.operators[index].change = None,
            Err(MemberError::NotLeader { leader }) => self.operators[index].leader = leader,
            _ => {}
        }
        // Both operators often start at the same time.
        let wait_us = 300_000 - self.now_us % 300_000;
        self.operator_wakes(index, wait_us);
    }
}
