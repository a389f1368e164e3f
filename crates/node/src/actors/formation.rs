//! Control actor: formation of a new control group.

use std::time::{Duration, Instant};

use bamboospur_agreement::{Members, PersistedState};
use bamboospur_control::{Member, MemberInput, MemberSettings};
use bamboospur_types::InstanceId;
use bamboospur_wire::link::{Formation, Frame};
use tracing::{error, info};

use super::control::Control;
use crate::peers::{FormationState, FormationStep, LinkId};

/// Time between formation reports of a member that has no group yet.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(300);

/// State of a member with an empty disk, before the group has formed.
#[derive(Debug)]
pub struct FormationStart {
    /// What this member knows about the other listed members.
    pub state: FormationState,
    /// Settings of the replica to start once the group has formed.
    pub member: MemberSettings,
    /// Seed of the replica's random number generator.
    pub seed: u64,
    /// Time of the next formation report to the other members.
    pub next_announce_at: Instant,
}

impl Control {
    /// Repeats the formation report to the other members when it is due.
    pub(super) fn tick_formation(&mut self, now: Instant) {
        let Some(start) = self.formation.as_mut() else {
            return;
        };
        if now >= start.next_announce_at {
            start.next_announce_at = now + ANNOUNCE_PERIOD;
            self.broadcast_formation();
        }
    }

    /// Returns the formation report of this member; `None` on an instance that is not
    /// listed, or whose replica has no group.
    fn own_formation(&self) -> Option<Formation> {
        if let Some(start) = &self.formation {
            return Some(start.state.own_formation());
        }
        if !self.listed {
            return None;
        }
        let status = self.member.as_ref()?.status();
        let members = status.replica.members;
        if members.current.is_empty() {
            return None;
        }
        let voters = members.voters();
        Some(Formation {
            disk: self.own_disk,
            formed: true,
            members: voters.map(|id| (id, members.current[&id].disk)).collect(),
        })
    }

    pub(super) fn send_formation(&self, link: LinkId) {
        if let Some(own) = self.own_formation() {
            // A lost report needs no handling: the timer of a member without a
            // group repeats the exchange.
            let links = self.peers.links().borrow();
            let _ = links.send(link, Frame::Formation(own));
        }
    }

    fn broadcast_formation(&self) {
        if let Some(own) = self.own_formation() {
            let frame = Frame::Formation(own);
            self.peers.links().borrow().send_to_control_members(&frame);
        }
    }

    pub(super) fn handle_formation(
        &mut self,
        peer: InstanceId,
        link: LinkId,
        announced: Formation,
        now: Instant,
    ) {
        if self.peers.links().borrow().link_to(peer) != Some(link) {
            return;
        }
        let Some(start) = self.formation.as_mut() else {
            if !announced.formed {
                self.send_formation(link);
            }
            return;
        };
        match start.state.receive(peer, announced) {
            FormationStep::Wait => {}
            FormationStep::UnknownDisk => {
                error!(
                    disk = format!("{:016x}", self.own_disk),
                    "the control group does not know this data folder: it was lost or is new; \
                     remove the instance from the group and add it under a new name"
                );
                self.start_member(PersistedState::default(), now);
            }
            FormationStep::Start(members) => self.start_group(members, now),
        }
    }

    /// Writes the initial members to the disk; the replica starts after the write.
    fn start_group(&mut self, members: Members, now: Instant) {
        if self.bootstrap.is_some() {
            return;
        }
        info!(?members, "forming the control group");
        let restored = PersistedState::bootstrap(members);
        let written = self.disk.write(restored.to_persist());
        self.bootstrap = Some(restored);
        if written.is_some() {
            self.complete_bootstrap(now);
        }
    }

    /// Starts the replica of a new group after its first write is on disk; returns
    /// false if no such write was pending.
    pub(super) fn complete_bootstrap(&mut self, now: Instant) -> bool {
        let Some(restored) = self.bootstrap.take() else {
            return false;
        };
        self.start_member(restored, now);
        self.broadcast_formation();
        true
    }

    fn start_member(&mut self, restored: PersistedState, now: Instant) {
        if let Some(start) = self.formation.take() {
            self.member = Some(Member::new(start.member, restored, start.seed, now));
            self.handle_input(MemberInput::Tick, now);
        }
    }
}
