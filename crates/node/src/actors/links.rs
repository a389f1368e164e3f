//! Control actor: messages of links to other instances, and contact with the leader
//! of the control group.

use std::time::{Duration, Instant, SystemTime};

use bamboospur_control::{MemberInput, decode_diff};
use bamboospur_settings::Revision;
use bamboospur_types::InstanceId;
use bamboospur_wire::link::Frame;
use stakker::CX;
use tracing::{error, warn};

use super::control::Control;
use crate::peers::{LinkId, LinkMessage};

/// Time without a leader after which requests are refused immediately and a
/// follower tries another member of the group. It is longer than an election,
/// which takes 1 s.
pub(super) const LEADER_LOSS_TIMEOUT: Duration = Duration::from_secs(3);

/// Contact with the leader of the control group.
#[derive(Debug)]
pub struct LeaderContact {
    /// Monotonic and wall-clock time since which no leader is known; `None` while one
    /// is known.
    pub lost_at: Option<(Instant, SystemTime)>,
    /// When [`LEADER_LOSS_TIMEOUT`] last expired without a leader. The uplink of that
    /// time, if there was one, was closed, because its peer knew no leader.
    last_timeout_at: Option<Instant>,
}

impl LeaderContact {
    pub fn new(now: Instant) -> Self {
        Self {
            lost_at: Some((now, SystemTime::now())),
            last_timeout_at: None,
        }
    }
}

impl Control {
    /// Handles a message of a link.
    pub(super) fn handle_link_message(&mut self, cx: CX![], message: LinkMessage) {
        let now = cx.now();
        match message {
            LinkMessage::Up {
                link,
                peer,
                control,
                queue,
            } => {
                let links = self.peers.links();
                links.borrow_mut().add(link, peer, control, queue);
                if control {
                    self.send_report(link);
                    self.send_formation(link);
                }
            }
            LinkMessage::Frame { link, frame } => self.handle_frame(link, frame, now),
            LinkMessage::Down { link } => {
                let removed_peer = self.peers.links().borrow_mut().remove(link);
                if let (Some(peer), Some(start)) = (removed_peer, self.formation.as_mut()) {
                    start.state.forget_peer(peer);
                }
                self.link_ended(link, now);
            }
        }
    }

    fn handle_frame(&mut self, link: LinkId, frame: Frame, now: Instant) {
        let Some((peer, control)) = self.link_peer(link) else {
            return;
        };
        if let Frame::Heartbeat { revision, .. } | Frame::Report { revision } = &frame {
            self.heard_instances.record(peer, *revision, now);
        }
        match frame {
            Frame::Heartbeat { revision, leader } => {
                self.handle_heartbeat(link, revision, leader, now);
            }
            Frame::Agreement(message) if control => {
                let message = *message;
                self.handle_input(
                    MemberInput::PeerMessage {
                        from: peer,
                        message,
                    },
                    now,
                );
            }
            Frame::Request { ticket, body } => {
                self.serve_request(link, control, ticket, &body, now);
            }
            Frame::Reply { ticket, body } => self.handle_reply(link, ticket, &body, now),
            Frame::Settings(bytes) if control => match decode_diff(&bytes) {
                Ok(diff) => {
                    self.apply_diff(&diff);
                    self.send_report(link);
                }
                Err(error) => error!(%error, "failed to decode a settings change; ignoring it"),
            },
            Frame::Report { revision } => self.handle_report(link, revision, now),
            Frame::Formation(announced) if control => {
                self.handle_formation(peer, link, announced, now);
            }
            Frame::Agreement(_) | Frame::Settings(_) | Frame::Formation(_) | Frame::Goodbye => {}
        }
    }

    fn link_peer(&self, link: LinkId) -> Option<(InstanceId, bool)> {
        let links = self.peers.links().borrow();
        links.get(link).map(|link| (link.peer, link.control))
    }

    /// Records the revision and leader that a peer reports. A higher revision than the
    /// own one means that this instance missed a change.
    fn handle_heartbeat(
        &mut self,
        link: LinkId,
        revision: Revision,
        leader: Option<InstanceId>,
        now: Instant,
    ) {
        let mut leader_appeared = false;
        if let Some(link) = self.peers.links().borrow_mut().get_mut(link) {
            leader_appeared = link.leader.is_none() && leader.is_some();
            link.leader = leader;
            link.revision = link.revision.max(revision);
        }
        if leader_appeared {
            self.leader_found(now);
        }
        if self.leader.is_none() && revision > self.follower.revision() {
            self.send_report(link);
        }
    }

    /// Reports the revision in force to a member of the group, which answers
    /// with the changes after it.
    fn send_report(&self, link: LinkId) {
        let revision = self.follower.revision();
        // If the report is lost, the next heartbeat causes another one.
        let _ = self
            .peers
            .links()
            .borrow()
            .send(link, Frame::Report { revision });
    }

    /// Sends a follower the changes after the revision that it reports. Each change is
    /// sent once, although a follower reports after each change of a burst.
    fn handle_report(&self, link: LinkId, revision: Revision, now: Instant) {
        let settings = self.member.as_ref().map(|m| m.state().settings());
        let newest = settings.map_or(0, |settings| settings.tree().revision());
        let mut links = self.peers.links().borrow_mut();
        let since = links.record_report(link, revision, newest, now);
        if let (Some(since), Some(settings)) = (since, settings) {
            links.catch_up(link, &settings.changes_since(since), now);
        }
    }

    /// Records since when no leader is known. A follower closes the uplink to a member
    /// that knows no leader, because other members may know one.
    pub(super) fn check_leader_contact(&mut self, now: Instant) {
        let links = self.peers.links().borrow();
        let uplink = links.uplink();
        if self.leader.is_some() || links.named_leader().is_some() {
            self.leader_contact.lost_at = None;
            self.leader_contact.last_timeout_at = None;
            return;
        }
        let (since, _) = *self
            .leader_contact
            .lost_at
            .get_or_insert_with(|| (now, SystemTime::now()));
        let close_at = self.leader_contact.last_timeout_at.unwrap_or(since) + LEADER_LOSS_TIMEOUT;
        if self.listed || now < close_at {
            return;
        }
        self.leader_contact.last_timeout_at = Some(now);
        if let Some(link) = uplink {
            warn!(
                link,
                "the control instance knows no leader; closing the link to try another instance"
            );
            links.close(link);
        }
    }
}
