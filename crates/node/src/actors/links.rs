//! Control actor: links to other instances, settings that are followed, and
//! the contact with the control group.

use std::time::{Duration, Instant, SystemTime};

use bamboospur_control::{MemberInput, decode_diff};
use bamboospur_settings::Revision;
use bamboospur_types::InstanceId;
use bamboospur_wire::link::Frame;
use stakker::CX;
use tracing::{error, warn};

use super::control::Control;
use crate::peers::{LinkId, LinkMessage};

/// Time without a leader after which requests are refused at once, and after
/// which a follower tries another member of the group. An election takes 1 s.
pub(super) const CUT_OFF: Duration = Duration::from_secs(3);

/// Connection to the control group.
#[derive(Debug)]
pub struct Contact {
    /// Since when no leader is known.
    pub lost_at: Option<(Instant, SystemTime)>,
    /// When a link was last given up because its end knew no leader.
    left_at: Option<Instant>,
}

impl Contact {
    pub fn new(now: Instant) -> Self {
        Self {
            lost_at: Some((now, SystemTime::now())),
            left_at: None,
        }
    }
}

impl Control {
    /// Takes a message of a link.
    pub(super) fn link(&mut self, cx: CX![], mail: LinkMessage) {
        let now = cx.now();
        match mail {
            LinkMessage::Up {
                link,
                peer,
                control,
                queue,
            } => {
                let links = self.peers.links();
                links.borrow_mut().add(link, peer, control, queue);
                if control {
                    self.report(link);
                    self.send_formation(link);
                }
            }
            LinkMessage::Frame { link, frame } => self.frame(link, frame, now),
            LinkMessage::Down { link } => {
                let gone = self.peers.links().borrow_mut().remove(link);
                if let (Some(peer), Some(start)) = (gone, self.forming.as_mut()) {
                    start.forming.forget_peer(peer);
                }
                self.link_ended(link, now);
            }
        }
    }

    fn frame(&mut self, link: LinkId, frame: Frame, now: Instant) {
        let Some((peer, control)) = self.other_end(link) else {
            return;
        };
        if let Frame::Heartbeat { revision, .. } | Frame::Report { revision } = &frame {
            self.seen.heard(peer, *revision, now);
        }
        match frame {
            Frame::Heartbeat { revision, leader } => self.heartbeat(link, revision, leader, now),
            Frame::Agreement(message) if control => {
                let message = *message;
                self.feed(
                    MemberInput::PeerMessage {
                        from: peer,
                        message,
                    },
                    now,
                );
            }
            Frame::Request { ticket, body } => self.serve(link, control, ticket, &body, now),
            Frame::Reply { ticket, body } => self.replied(link, ticket, &body, now),
            Frame::Settings(bytes) if control => match decode_diff(&bytes) {
                Ok(diff) => {
                    self.follow(&diff);
                    self.report(link);
                }
                Err(error) => error!(%error, "a change of the settings cannot be read"),
            },
            Frame::Report { revision } => self.reported(link, revision, now),
            Frame::Formation(said) if control => self.formation(peer, link, said, now),
            Frame::Agreement(_) | Frame::Settings(_) | Frame::Formation(_) | Frame::Goodbye => {}
        }
    }

    fn other_end(&self, link: LinkId) -> Option<(InstanceId, bool)> {
        let links = self.peers.links().borrow();
        links.get(link).map(|link| (link.peer, link.control))
    }

    /// A revision above the own one means that a change was missed.
    fn heartbeat(
        &mut self,
        link: LinkId,
        revision: Revision,
        leader: Option<InstanceId>,
        now: Instant,
    ) {
        let mut found = false;
        if let Some(link) = self.peers.links().borrow_mut().get_mut(link) {
            found = link.leader.is_none() && leader.is_some();
            link.leader = leader;
            link.revision = link.revision.max(revision);
        }
        if found {
            self.leader_found(now);
        }
        if self.leader.is_none() && revision > self.follower.revision() {
            self.report(link);
        }
    }

    /// Reports the revision in force to a member of the group, which answers
    /// with the changes since then.
    fn report(&self, link: LinkId) {
        let revision = self.follower.revision();
        // A lost report is repeated after the next heartbeat.
        let _ = self
            .peers
            .links()
            .borrow()
            .send(link, Frame::Report { revision });
    }

    /// Sends a follower the changes after its revision, once: in a burst of
    /// changes it reports after each of them.
    fn reported(&self, link: LinkId, revision: Revision, now: Instant) {
        let settings = self.member.as_ref().map(|m| m.state().settings());
        let newest = settings.map_or(0, |settings| settings.tree().revision());
        let mut links = self.peers.links().borrow_mut();
        let since = links.record_report(link, revision, newest, now);
        if let (Some(since), Some(settings)) = (since, settings) {
            links.catch_up(link, &settings.changes_since(since), now);
        }
    }

    /// Notes since when no leader is known, and leaves a member of the group
    /// that knows none while the rest may go on.
    pub(super) fn watch_contact(&mut self, now: Instant) {
        let links = self.peers.links().borrow();
        let uplink = links.uplink();
        let known = self.leader.is_some()
            || uplink
                .and_then(|link| links.get(link))
                .is_some_and(|link| link.leader.is_some());
        if known {
            self.contact.lost_at = None;
            self.contact.left_at = None;
            return;
        }
        let (since, _) = *self
            .contact
            .lost_at
            .get_or_insert_with(|| (now, SystemTime::now()));
        let patient = self.contact.left_at.unwrap_or(since) + CUT_OFF;
        if self.listed || now < patient {
            return;
        }
        self.contact.left_at = Some(now);
        if let Some(link) = uplink {
            warn!(link, "the control instance knows no leader; trying another");
            links.close(link);
        }
    }
}
