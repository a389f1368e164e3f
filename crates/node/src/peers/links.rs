//! The links that are up, as recorded by the main loop.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bamboospur_agreement::Message;
use bamboospur_control::encode_diff;
use bamboospur_settings::{Diff, Revision};
use bamboospur_types::InstanceId;
use bamboospur_wire::link::Frame;
use serde::Serialize;
use tracing::{error, warn};

use super::link::{LinkId, LinkSender};

/// Time without progress of a follower after which changes are sent again.
/// Sending the whole settings tree of 11,000 teams takes less than 1 s.
const RESEND_TIMEOUT: Duration = Duration::from_secs(5);

/// A link that is up.
#[derive(Debug)]
pub struct Link {
    /// Instance at the other end.
    pub peer: InstanceId,
    /// Whether the other end is a listed member of the control group.
    pub control: bool,
    /// Whether the other end has reported its revision, which makes it a follower
    /// that gets settings changes.
    pub follows: bool,
    /// Last settings revision that the other end reported.
    pub revision: Revision,
    /// Leader that the other end follows; `None` when it knows none.
    pub leader: Option<InstanceId>,
    /// Revision up to which changes were queued.
    sent_revision: Revision,
    /// When the other end last reported a new revision, or when changes were
    /// first sent to it after it had caught up.
    progress_at: Option<Instant>,
    queue: LinkSender,
}

/// A link on the status page.
#[derive(Clone, Debug, Serialize)]
pub struct LinkStatus {
    /// Id of the instance at the other end, in hexadecimal.
    pub peer: String,
    /// Whether the other end is a listed member of the control group.
    pub control: bool,
    /// Last settings revision that the other end reported.
    pub revision: Revision,
}

/// All links that are up. Among several links to one instance, the newest is
/// used.
#[derive(Debug, Default)]
pub struct Links {
    links: BTreeMap<LinkId, Link>,
    by_peer: BTreeMap<InstanceId, LinkId>,
}

impl Links {
    /// Adds a link and closes an older one to the same instance.
    pub fn add(&mut self, id: LinkId, peer: InstanceId, control: bool, queue: LinkSender) {
        let link = Link {
            peer,
            control,
            follows: false,
            revision: 0,
            leader: None,
            sent_revision: 0,
            progress_at: None,
            queue,
        };
        self.links.insert(id, link);
        let older = self.by_peer.insert(peer, id);
        if let Some(older) = older.and_then(|older| self.links.get(&older)) {
            older.queue.close();
        }
    }

    /// Removes a link that has ended. Returns the instance at the other end when
    /// this was the link in use to it.
    pub fn remove(&mut self, id: LinkId) -> Option<InstanceId> {
        let link = self.links.remove(&id)?;
        if self.by_peer.get(&link.peer) != Some(&id) {
            return None;
        }
        self.by_peer.remove(&link.peer);
        Some(link.peer)
    }

    /// Returns a link; `None` when the link has ended.
    #[must_use]
    pub fn get(&self, id: LinkId) -> Option<&Link> {
        self.links.get(&id)
    }

    /// Returns a link to modify; `None` when the link has ended.
    pub fn get_mut(&mut self, id: LinkId) -> Option<&mut Link> {
        self.links.get_mut(&id)
    }

    /// Returns the link in use to an instance.
    #[must_use]
    pub fn link_to(&self, peer: InstanceId) -> Option<LinkId> {
        self.by_peer.get(&peer).copied()
    }

    /// Returns the leader that the members of the control group name, most of them if they
    /// disagree.
    #[must_use]
    pub fn named_leader(&self) -> Option<InstanceId> {
        let mut counts: BTreeMap<InstanceId, usize> = BTreeMap::new();
        let members = self.links.values().filter(|link| link.control);
        for leader in members.filter_map(|link| link.leader) {
            *counts.entry(leader).or_default() += 1;
        }
        let most = counts.into_iter().max_by_key(|(_, count)| *count);
        most.map(|(leader, _)| leader)
    }

    /// Returns a link to a member of the control group: to the leader, or else preferably to
    /// one that knows a leader.
    #[must_use]
    pub fn uplink(&self) -> Option<LinkId> {
        let leader = self.named_leader().and_then(|leader| self.link_to(leader));
        let members = self.links.iter().filter(|(_, link)| link.control);
        let best = members.max_by_key(|(id, link)| (link.leader.is_some(), **id));
        leader.or_else(|| best.map(|(id, _)| *id))
    }

    /// Returns the members of the control group to which a link is up.
    #[must_use]
    pub fn members(&self) -> Vec<InstanceId> {
        let peers = self.by_peer.iter();
        let members =
            peers.filter(|(_, link)| self.links.get(link).is_some_and(|link| link.control));
        members.map(|(peer, _)| *peer).collect()
    }

    /// Queues a frame. Returns false when the frame is lost, because the link has
    /// ended or its queue is full.
    #[must_use]
    pub fn send(&self, id: LinkId, frame: Frame) -> bool {
        self.links
            .get(&id)
            .is_some_and(|link| link.queue.send(frame))
    }

    /// Ends a link after its queued frames, or at once when its queue is full.
    pub fn close(&self, id: LinkId) {
        if let Some(link) = self.links.get(&id) {
            link.queue.close();
        }
    }

    /// Ends all links as [`Self::close`] does.
    pub fn close_all(&self) {
        self.links.values().for_each(|link| link.queue.close());
    }

    /// Queues a message of the agreement protocol. Returns false when the message
    /// is lost.
    #[must_use]
    pub fn send_agreement(&self, to: InstanceId, message: Box<Message>) -> bool {
        let link = self.link_to(to);
        link.is_some_and(|link| self.send(link, Frame::Agreement(message)))
    }

    /// Sends a frame to all other members of the control group.
    pub fn send_to_control_members(&self, frame: &Frame) {
        for link in self.links.values().filter(|link| link.control) {
            // The sender's timer repeats a lost frame.
            let _ = link.queue.send(frame.clone());
        }
    }

    /// Sends a settings change to the followers that were sent all earlier
    /// changes. Other followers get the change after their next report.
    pub fn publish(&mut self, diff: &Diff, now: Instant) {
        let is_current = |link: &&mut Link| link.follows && link.sent_revision == diff.from;
        let mut followers = self.links.values_mut().filter(is_current).peekable();
        if followers.peek().is_none() {
            return;
        }
        let Some(bytes) = encode(diff) else {
            return;
        };
        for link in followers {
            link.send_changes(&bytes, diff.to, now);
        }
    }

    /// Records the revision that a follower reported, and returns the revision
    /// from which it needs changes; `None` when it is up to date or changes are in
    /// flight to it.
    pub fn record_report(
        &mut self,
        id: LinkId,
        revision: Revision,
        newest: Revision,
        now: Instant,
    ) -> Option<Revision> {
        let link = self.links.get_mut(&id)?;
        if !link.follows || revision > link.revision {
            link.progress_at = Some(now);
        }
        link.follows = true;
        link.revision = revision;
        let timed_out = link.progress_at.is_none_or(|at| now >= at + RESEND_TIMEOUT);
        if revision >= link.sent_revision || timed_out {
            link.sent_revision = revision;
            return (revision < newest).then_some(revision);
        }
        None
    }

    /// Sends the changes that a follower lacks.
    pub fn catch_up(&mut self, id: LinkId, diff: &Diff, now: Instant) {
        if let Some(bytes) = encode(diff)
            && let Some(link) = self.links.get_mut(&id)
        {
            link.send_changes(&bytes, diff.to, now);
        }
    }

    /// Sends the changed leader to all instances, which then send their requests again. A
    /// member of the control group whose replica has stopped knows it from this alone.
    pub fn send_leader(&self, revision: Revision, leader: Option<InstanceId>) {
        for link in self.links.values() {
            // The next heartbeat repeats a lost frame.
            let _ = link.queue.send(Frame::Heartbeat { revision, leader });
        }
    }

    /// Reports the links for the status page.
    #[must_use]
    pub fn status(&self) -> Vec<LinkStatus> {
        let links = self.links.values().map(|link| LinkStatus {
            peer: format!("{:016x}", link.peer),
            control: link.control,
            revision: link.revision,
        });
        links.collect()
    }
}

impl Link {
    fn send_changes(&mut self, bytes: &Arc<Vec<u8>>, to: Revision, now: Instant) {
        if !self.queue.send(Frame::Settings(Arc::clone(bytes))) {
            warn!("link queue is full or closed; sending the settings change after a later report");
            return;
        }
        if self.revision >= self.sent_revision {
            self.progress_at = Some(now);
        }
        self.sent_revision = to;
    }
}

fn encode(diff: &Diff) -> Option<Arc<Vec<u8>>> {
    match encode_diff(diff) {
        Ok(bytes) => Some(Arc::new(bytes)),
        Err(error) => {
            error!(%error, "encoding a settings change failed; it is not sent to followers");
            None
        }
    }
}
