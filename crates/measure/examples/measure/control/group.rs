//! A group of replicas and the channels between them.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bamboospur_agreement::{
    Input, Members, Message, PersistedState, ReplicaSettings, Role, Ticket,
};

use super::host::{Done, Host, Shared, ToHost, open_log};

/// Number of the next folder, so that groups of one process never share one.
static FOLDERS: AtomicUsize = AtomicUsize::new(0);

/// What a member can still do on the network.
#[derive(Default)]
pub struct Link {
    /// Its messages are dropped.
    pub mute: AtomicBool,
    /// Messages to it are dropped.
    pub deaf: AtomicBool,
}

/// Channels to all members.
pub struct Network {
    senders: BTreeMap<u64, Sender<ToHost>>,
    links: BTreeMap<u64, Link>,
}

impl Network {
    /// Returns the channel to a member.
    pub fn sender(&self, id: u64) -> Sender<ToHost> {
        self.senders[&id].clone()
    }

    /// Returns the link of a member.
    pub fn link(&self, id: u64) -> &Link {
        &self.links[&id]
    }

    /// Delivers a message unless the link is cut.
    pub fn send(&self, from: u64, to: u64, message: Message) {
        let (Some(sender), Some(link)) = (self.senders.get(&to), self.links.get(&to)) else {
            return;
        };
        let dropped =
            self.links[&from].mute.load(Ordering::Relaxed) || link.deaf.load(Ordering::Relaxed);
        if !dropped {
            let input = Input::Message { from, message };
            drop(sender.send(ToHost::Feed(input)));
        }
    }
}

/// A running group.
pub struct Group {
    /// Network between the members.
    pub network: Arc<Network>,
    /// Results of all proposals.
    pub done: Receiver<Done>,
    shared: BTreeMap<u64, Arc<Shared>>,
    threads: Vec<JoinHandle<()>>,
    folder: PathBuf,
}

impl Group {
    /// Starts a group and waits for its leader. Each sync takes `added_sync`
    /// longer than the disk does.
    pub fn start(size: u64, added_sync: Duration) -> Self {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let name = format!("bamboospur-measure-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let ids = 1..=size;
        let (senders, inboxes): (Vec<_>, Vec<_>) = ids.clone().map(|_| channel()).unzip();
        let network = Arc::new(Network {
            senders: ids.clone().zip(senders).collect(),
            links: ids.clone().map(|id| (id, Link::default())).collect(),
        });
        let voters: Vec<_> = ids.clone().map(|id| (id, 100 + id)).collect();
        let first = PersistedState::bootstrap(Members::from_voters(&voters));
        let (done_sender, done) = channel();
        let mut threads = Vec::new();
        let mut shared = BTreeMap::new();
        for (id, inbox) in ids.zip(inboxes) {
            let settings = ReplicaSettings {
                id,
                disk: 100 + id,
                ..ReplicaSettings::default()
            };
            let opened = open_log(&folder.join(id.to_string()), &first);
            let opened = opened.unwrap_or_else(|error| panic!("{error}"));
            let done = done_sender.clone();
            let started = Host::start(settings, opened, &network, inbox, done, added_sync);
            threads.extend(started.0);
            shared.insert(id, started.1);
        }
        let group = Self {
            network,
            done,
            shared,
            threads,
            folder,
        };
        group.wait_for_leader();
        group
    }

    /// Waits until a member leads and returns its id.
    pub fn wait_for_leader(&self) -> u64 {
        loop {
            if let Some(leader) = self.leader() {
                return leader;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// The leader with the highest term.
    pub fn leader(&self) -> Option<u64> {
        let mut best = None;
        for (&id, shared) in &self.shared {
            let status = shared.status.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(status) = status.as_ref() else {
                continue;
            };
            if status.role == Role::Leader {
                best = best.max(Some((status.term, id)));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Proposes an entry of 200 bytes.
    pub fn propose(&self, to: u64, ticket: Ticket) -> Instant {
        let began = Instant::now();
        let data = vec![7; 200];
        let input = Input::Propose { ticket, data };
        drop(self.network.sender(to).send(ToHost::Feed(input)));
        began
    }

    /// Syncs of one member's log.
    pub fn syncs(&self, id: u64) -> usize {
        self.shared[&id].syncs.load(Ordering::Relaxed)
    }

    /// Ends a member's threads without a word to the others.
    pub fn stop(&self, id: u64) {
        drop(self.network.sender(id).send(ToHost::Stop));
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for &id in self.shared.keys() {
            self.stop(id);
        }
        for thread in self.threads.drain(..) {
            drop(thread.join());
        }
        drop(std::fs::remove_dir_all(&self.folder));
    }
}
