//! Replaces a control member whose disk is lost.

use bamboospur_agreement::{MemberChange, MemberKind};
use bamboospur_control::Request;

use super::control::disk_id;
use super::message::{Message, Node};
use super::world::World;

/// The lost member and the one that takes its place.
pub struct Repair {
    pub old: u64,
    pub new: u64,
}

impl World {
    /// Takes the next step of a replacement: the new member joins as a learner, becomes a
    /// voter, and the lost member is removed.
    pub fn step_repair(&mut self) {
        let (Some(repair), Some(leader)) = (&self.repair, self.leader()) else {
            return;
        };
        if self.now_us % 300_000 >= 100_000 {
            return;
        }
        let (old, new) = (repair.old, repair.new);
        let core = self
            .members
            .get(&leader)
            .and_then(|member| member.core.as_ref());
        let Some(members) = core.map(|core| core.status().replica.members) else {
            return;
        };
        let kind = members.current.get(&new).map(|member| member.kind);
        let change = match kind {
            None => MemberChange::AddLearner {
                id: new,
                disk: disk_id(new),
            },
            Some(MemberKind::Learner) => MemberChange::Promote { id: new },
            Some(MemberKind::Voter) if members.current.contains_key(&old) => {
                MemberChange::Remove { id: old }
            }
            Some(MemberKind::Voter) => {
                self.repair = None;
                self.oracle.tally.repairs += 1;
                self.add_trace(format!("member {new} replaced member {old}"));
                return self.second_loss();
            }
        };
        let ticket = self.next_id();
        let request = Message::ControlRequest(ticket, Box::new(Request::Members(change)));
        self.send(Node::Operator(0), Node::Member(leader), request);
    }
}
