//! Control actor: the first start of a control group.

use std::time::{Duration, Instant};

use bamboospur_agreement::{Members, PersistedState};
use bamboospur_control::{Member, MemberInput, MemberSettings};
use bamboospur_types::InstanceId;
use bamboospur_wire::link::{Formation, Frame};
use tracing::{error, info};

use super::control::Control;
use crate::peers::{FormationState, FormationStep, LinkId};

/// Time between two messages of a member that has no group yet.
const REPEAT: Duration = Duration::from_millis(300);

/// A member with an empty disk, before the group has formed.
#[derive(Debug)]
pub struct FormationStart {
    /// What the member knows about the others.
    pub forming: FormationState,
    /// Settings of the replica to start.
    pub member: MemberSettings,
    /// Seed of its random choices.
    pub seed: u64,
    /// When the member tells the others again what it knows.
    pub next_announce_at: Instant,
}

impl Control {
    /// Repeats what the other members have to know.
    pub(super) fn tick_forming(&mut self, now: Instant) {
        let Some(start) = self.forming.as_mut() else {
            return;
        };
        if now >= start.next_announce_at {
            start.next_announce_at = now + REPEAT;
            self.tell_formation();
        }
    }

    /// What this member says about the group; `None` on other instances.
    fn view(&self) -> Option<Formation> {
        if let Some(start) = &self.forming {
            return Some(start.forming.view());
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
        if let Some(view) = self.view() {
            // Repeated by the timer of the member that has no group yet.
            let links = self.peers.links().borrow();
            let _ = links.send(link, Frame::Formation(view));
        }
    }

    fn tell_formation(&self) {
        if let Some(view) = self.view() {
            let frame = Frame::Formation(view);
            self.peers.links().borrow().send_control(&frame);
        }
    }

    pub(super) fn formation(
        &mut self,
        peer: InstanceId,
        link: LinkId,
        said: Formation,
        now: Instant,
    ) {
        if self.peers.links().borrow().link_to(peer) != Some(link) {
            return;
        }
        let Some(start) = self.forming.as_mut() else {
            if !said.formed {
                self.send_formation(link);
            }
            return;
        };
        match start.forming.receive(peer, said) {
            FormationStep::Wait => {}
            FormationStep::Outside => {
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

    /// Writes the first members to the disk before the replica starts.
    fn start_group(&mut self, members: Members, now: Instant) {
        if self.bootstrap.is_some() {
            return;
        }
        info!(?members, "the control group forms");
        let restored = PersistedState::bootstrap(members);
        let written = self.disk.write(restored.to_persist());
        self.bootstrap = Some(restored);
        if written.is_some() {
            self.first_write_done(now);
        }
    }

    /// Starts the replica once its first write is on disk.
    pub(super) fn first_write_done(&mut self, now: Instant) -> bool {
        let Some(restored) = self.bootstrap.take() else {
            return false;
        };
        self.start_member(restored, now);
        self.tell_formation();
        true
    }

    fn start_member(&mut self, restored: PersistedState, now: Instant) {
        if let Some(start) = self.forming.take() {
            self.member = Some(Member::new(start.member, restored, start.seed, now));
            self.feed(MemberInput::Tick, now);
        }
    }
}
