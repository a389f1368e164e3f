//! The links that are up, as the main loop knows them.

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

/// Time without progress of a follower after which changes are sent again. The
/// whole tree of 11,000 teams takes less than 1 s.
const RESEND: Duration = Duration::from_secs(5);

/// A link that is up.
#[derive(Debug)]
pub struct Link {
    /// The other end.
    pub peer: InstanceId,
    /// Whether the other end is a listed member of the control group.
    pub control: bool,
    /// Whether the other end asked for changes of the settings.
    pub follows: bool,
    /// Last revision that the other end reported.
    pub revision: Revision,
    /// Leader that the other end follows.
    pub leader: Option<InstanceId>,
    /// Revision up to which changes were queued.
    sent: Revision,
    /// When the other end last reported a new revision, or had nothing to report.
    progress_at: Option<Instant>,
    queue: LinkSender,
}

/// A link on the status page.
#[derive(Clone, Debug, Serialize)]
pub struct LinkStatus {
    /// Id of the other end, in hexadecimal.
    pub peer: String,
    /// Whether the other end is a listed member of the control group.
    pub control: bool,
    /// Last revision that the other end reported.
    pub revision: Revision,
}

/// All links that are up. A newer link to the same instance is used first.
#[derive(Debug, Default)]
pub struct Links {
    up: BTreeMap<LinkId, Link>,
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
            sent: 0,
            progress_at: None,
            queue,
        };
        self.up.insert(id, link);
        let older = self.by_peer.insert(peer, id);
        if let Some(older) = older.and_then(|older| self.up.get(&older)) {
            older.queue.close();
        }
    }

    /// Removes a link that has ended, and returns the other end when there is
    /// no other link to it.
    pub fn remove(&mut self, id: LinkId) -> Option<InstanceId> {
        let link = self.up.remove(&id)?;
        if self.by_peer.get(&link.peer) != Some(&id) {
            return None;
        }
        self.by_peer.remove(&link.peer);
        Some(link.peer)
    }

    /// Returns a link.
    #[must_use]
    pub fn get(&self, id: LinkId) -> Option<&Link> {
        self.up.get(&id)
    }

    /// Returns a link for changes.
    pub fn get_mut(&mut self, id: LinkId) -> Option<&mut Link> {
        self.up.get_mut(&id)
    }

    /// Returns the link in use to an instance.
    #[must_use]
    pub fn link_to(&self, peer: InstanceId) -> Option<LinkId> {
        self.by_peer.get(&peer).copied()
    }

    /// Returns a link to a member of the control group, one that knows a
    /// leader first.
    #[must_use]
    pub fn uplink(&self) -> Option<LinkId> {
        let members = self.up.iter().filter(|(_, link)| link.control);
        let best = members.max_by_key(|(id, link)| (link.leader.is_some(), **id));
        best.map(|(id, _)| *id)
    }

    /// Returns the members of the control group that have a link.
    #[must_use]
    pub fn members(&self) -> Vec<InstanceId> {
        let up = self.by_peer.iter();
        let members = up.filter(|(_, link)| self.up.get(link).is_some_and(|link| link.control));
        members.map(|(peer, _)| *peer).collect()
    }

    /// Queues a frame; false when it is lost.
    #[must_use]
    pub fn send(&self, id: LinkId, frame: Frame) -> bool {
        self.up.get(&id).is_some_and(|link| link.queue.send(frame))
    }

    /// Ends a link.
    pub fn close(&self, id: LinkId) {
        if let Some(link) = self.up.get(&id) {
            link.queue.close();
        }
    }

    /// Ends all links.
    pub fn close_all(&self) {
        self.up.values().for_each(|link| link.queue.close());
    }

    /// Queues a message of the log; false when it is lost.
    #[must_use]
    pub fn send_agreement(&self, to: InstanceId, message: Box<Message>) -> bool {
        let link = self.link_to(to);
        link.is_some_and(|link| self.send(link, Frame::Agreement(message)))
    }

    /// Sends a frame to all other members of the control group.
    pub fn send_control(&self, frame: &Frame) {
        for link in self.up.values().filter(|link| link.control) {
            // A lost frame is repeated by the sender's timer.
            let _ = link.queue.send(frame.clone());
        }
    }

    /// Sends a change of the settings to the followers that were sent all
    /// changes before it. Others get it when they report.
    pub fn publish(&mut self, diff: &Diff, now: Instant) {
        let current = |link: &&mut Link| link.follows && link.sent == diff.from;
        let mut followers = self.up.values_mut().filter(current).peekable();
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

    /// Takes a follower's report, and returns the revision after which it needs
    /// changes: none while changes are on their way to it.
    pub fn record_report(
        &mut self,
        id: LinkId,
        revision: Revision,
        newest: Revision,
        now: Instant,
    ) -> Option<Revision> {
        let link = self.up.get_mut(&id)?;
        if !link.follows || revision > link.revision {
            link.progress_at = Some(now);
        }
        link.follows = true;
        link.revision = revision;
        let stuck = link.progress_at.is_none_or(|at| now >= at + RESEND);
        if revision >= link.sent || stuck {
            link.sent = revision;
            return (revision < newest).then_some(revision);
        }
        None
    }

    /// Sends the changes that the other end needs.
    pub fn catch_up(&mut self, id: LinkId, diff: &Diff, now: Instant) {
        if let Some(bytes) = encode(diff)
            && let Some(link) = self.up.get_mut(&id)
        {
            link.send_changes(&bytes, diff.to, now);
        }
    }

    /// Tells instances outside the control group at once that the leader
    /// changed, so that they send their requests again.
    pub fn tell_leader(&self, revision: Revision, leader: Option<InstanceId>) {
        for link in self.up.values().filter(|link| !link.control) {
            // The next heartbeat says the same.
            let _ = link.queue.send(Frame::Heartbeat { revision, leader });
        }
    }

    /// Reports the links for the status page.
    #[must_use]
    pub fn status(&self) -> Vec<LinkStatus> {
        let links = self.up.values().map(|link| LinkStatus {
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
            warn!("a change of the settings waits: the queue of a link is full");
            return;
        }
        if self.revision >= self.sent {
            self.progress_at = Some(now);
        }
        self.sent = to;
    }
}

fn encode(diff: &Diff) -> Option<Arc<Vec<u8>>> {
    match encode_diff(diff) {
        Ok(bytes) => Some(Arc::new(bytes)),
        Err(error) => {
            error!(%error, "a change of the settings cannot be encoded");
            None
        }
    }
}
