//! Carries out the outputs of a router's state machines.

use bamboospur_limits::{LimitsMessage, LimitsOutput};
use bamboospur_membership::{
    MemberKey, MemberState, MembershipChange, MembershipInput, MembershipOutput,
};
use bamboospur_placement::{LoadReport, PlacementOutput, TargetView};
use bamboospur_types::{InstanceId, TargetId, TargetState, stable_id};

use super::message::{Message, Node};
use super::oracle::ViolationKind;
use super::router::{LiveRouter, address_of, data_centre_name};
use super::world::World;

impl World {
    /// Confirms a leave that other routers know, and records the time.
    fn confirm_leave(&mut self, index: usize, live: &LiveRouter, target: TargetId) {
        let version = live.membership.version(MemberKey::Target(target));
        let left = version.filter(|version| version.state == MemberState::Left);
        let (Some(version), Some(to)) = (left, self.targets.iter().position(|t| t.id == target))
        else {
            return;
        };
        let now_ms = self.now_ms();
        self.oracle
            .left_ms
            .entry((target, version.incarnation))
            .or_insert(now_ms);
        self.send(
            Node::Router(index),
            Node::Target(to),
            Message::LeaveAccepted,
        );
    }

    pub fn membership_input(
        &mut self,
        index: usize,
        live: &mut LiveRouter,
        input: MembershipInput,
        from: Option<Node>,
    ) {
        let node = Node::Router(index);
        let now = self.instant(node);
        for output in live.membership.handle(input, now) {
            match output {
                MembershipOutput::Send { to, message, .. } => {
                    let to = usize::from(to.port()) - 10_000;
                    let message = Message::Gossip(address_of(index), Box::new(message));
                    self.send(node, Node::Router(to), message);
                }
                MembershipOutput::Probe {
                    target,
                    incarnation,
                    ..
                } => {
                    if let Some(index) = self.targets.iter().position(|t| t.id == target) {
                        self.send(node, Node::Target(index), Message::Probe(incarnation));
                    }
                }
                MembershipOutput::AnnounceReply {
                    accepted,
                    least_incarnation,
                    ..
                } => {
                    if let Some(to) = from {
                        let least = least_incarnation;
                        self.send(node, to, Message::Announced { accepted, least });
                    }
                }
                MembershipOutput::HeartbeatReply { known, .. } => {
                    if let Some(to) = from {
                        self.send(node, to, Message::HeartbeatReply { known });
                    }
                }
                MembershipOutput::DepartureReply {
                    target,
                    is_copied: true,
                } => self.confirm_leave(index, live, target),
                // The target calls again with its next heartbeat.
                MembershipOutput::DepartureReply {
                    is_copied: false, ..
                } => {}
                MembershipOutput::Changed(change) => {
                    self.apply_membership_change(index, live, change);
                }
            }
        }
    }

    fn apply_membership_change(
        &mut self,
        index: usize,
        live: &mut LiveRouter,
        change: MembershipChange,
    ) {
        let now = self.instant(Node::Router(index));
        match change {
            MembershipChange::Target { target, .. } | MembershipChange::Load { target } => {
                let Some(known) = live.membership.target(target, now) else {
                    return;
                };
                let view = target_view(&known, &data_centre_name(index));
                if view.state == TargetState::Gone {
                    live.usable.remove(&target);
                    live.placer.remove_target(target, now);
                    return;
                }
                if view.state == TargetState::Ready && !view.damped {
                    live.usable.insert(target, view.incarnation);
                } else {
                    live.usable.remove(&target);
                }
                live.placer.set_target(view, now);
            }
            MembershipChange::Routers => {
                let routers = live.membership.routers().to_vec();
                live.placer.set_routers(&routers, now);
                live.holder.set_routers(&routers, now);
                live.owner.set_routers(&routers, now);
            }
            MembershipChange::DataCentre { .. } => {}
            MembershipChange::IncarnationRaised { incarnation } => {
                self.routers[index].incarnation = incarnation;
            }
        }
    }

    pub fn router_index(&self, id: InstanceId) -> Option<usize> {
        self.routers.iter().position(|router| router.id == id)
    }

    pub fn placement_outputs(
        &mut self,
        index: usize,
        live: &mut LiveRouter,
        outputs: Vec<PlacementOutput>,
    ) {
        for output in outputs {
            match output {
                PlacementOutput::Send { to, message } => {
                    if let Some(to) = self.router_index(to) {
                        let message = Message::Placement(message);
                        self.send(Node::Router(index), Node::Router(to), message);
                    }
                }
                PlacementOutput::Placed {
                    ticket,
                    target,
                    work_tokens,
                    ..
                } => {
                    self.placed(index, live, ticket, target, work_tokens);
                }
                PlacementOutput::Refused {
                    ticket,
                    retry_after,
                    ..
                } => {
                    let retry_ms = u64::try_from(retry_after.as_millis()).unwrap_or(1_000);
                    self.placement_refused(index, live, ticket, retry_ms);
                }
                PlacementOutput::Violation { what } => {
                    self.fail(
                        ViolationKind::Internal,
                        format!("placer of router {index}: {what}"),
                    );
                }
            }
        }
    }

    pub fn limits_outputs(
        &mut self,
        index: usize,
        live: &mut LiveRouter,
        outputs: Vec<LimitsOutput>,
    ) {
        let own = self.routers[index].id;
        let now = self.instant(Node::Router(index));
        for LimitsOutput::Send { to, message, .. } in outputs {
            if to != own {
                if let Some(to) = self.router_index(to) {
                    self.send(
                        Node::Router(index),
                        Node::Router(to),
                        Message::Limits(message),
                    );
                }
                continue;
            }
            let more = match &message {
                LimitsMessage::Ask(_) => live.owner.handle(own, &message, now),
                LimitsMessage::Grant(_) => live.holder.handle(own, &message, now),
            };
            self.limits_outputs(index, live, more);
        }
    }
}

fn target_view(known: &bamboospur_membership::TargetView, own: &str) -> TargetView {
    let record = &known.record;
    let state = match known.state {
        MemberState::Ready => TargetState::Ready,
        MemberState::Suspect | MemberState::Draining => TargetState::Draining,
        MemberState::Dead | MemberState::Left => TargetState::Gone,
    };
    TargetView {
        id: known.id,
        incarnation: record.incarnation,
        data_centre: stable_id(&record.data_centre),
        same_data_centre: record.data_centre == own,
        offers: Vec::new(),
        capacity_tokens: record.capacity_tokens,
        capacity_requests: record.capacity_requests,
        report: Some(LoadReport {
            load_tokens: known.load.tokens,
            load_requests: known.load.requests,
            taken_at: known.load_updated_at,
        }),
        state,
        damped: state == TargetState::Ready && !known.takes_work,
    }
}
