//! A group of replicas in one process, connected by channels.

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

use super::replica_runner::{ProposalResult, ReplicaMessage, ReplicaRunner, SharedState, open_log};

/// Numbers the folders, so that two groups of one process never share a folder.
static NEXT_FOLDER_NUMBER: AtomicUsize = AtomicUsize::new(0);

/// Message loss injected at one replica.
#[derive(Default)]
pub struct LinkFaults {
    /// Drops all messages that the replica sends.
    pub drop_outgoing: AtomicBool,
    /// Drops all messages to the replica.
    pub drop_incoming: AtomicBool,
}

/// Channels to all replicas, with injected message loss.
pub struct Network {
    senders: BTreeMap<u64, Sender<ReplicaMessage>>,
    faults: BTreeMap<u64, LinkFaults>,
}

impl Network {
    /// Returns the channel to a replica.
    pub fn sender(&self, id: u64) -> Sender<ReplicaMessage> {
        self.senders[&id].clone()
    }

    /// Returns the message loss injected at a replica, which the caller can set.
    pub fn faults(&self, id: u64) -> &LinkFaults {
        &self.faults[&id]
    }

    /// Delivers a message unless the sender drops outgoing messages or the receiver
    /// drops incoming ones.
    pub fn send(&self, from: u64, to: u64, message: Message) {
        let (Some(sender), Some(receiver_faults)) = (self.senders.get(&to), self.faults.get(&to))
        else {
            return;
        };
        let dropped = self.faults[&from].drop_outgoing.load(Ordering::Relaxed)
            || receiver_faults.drop_incoming.load(Ordering::Relaxed);
        if !dropped {
            let input = Input::Message { from, message };
            drop(sender.send(ReplicaMessage::Input(input)));
        }
    }
}

/// A running group. Dropping it stops all threads and removes the logs.
pub struct ReplicaGroup {
    pub network: Arc<Network>,
    /// Results of the proposals at all replicas.
    pub results: Receiver<ProposalResult>,
    shared: BTreeMap<u64, Arc<SharedState>>,
    threads: Vec<JoinHandle<()>>,
    folder: PathBuf,
}

impl ReplicaGroup {
    /// Starts a group and waits for its leader. Each sync takes `added_sync`
    /// longer than the disk needs.
    pub fn start(size: u64, added_sync: Duration) -> Self {
        let number = NEXT_FOLDER_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("bamboospur-measure-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let ids = 1..=size;
        let (senders, inboxes): (Vec<_>, Vec<_>) = ids.clone().map(|_| channel()).unzip();
        let network = Arc::new(Network {
            senders: ids.clone().zip(senders).collect(),
            faults: ids.clone().map(|id| (id, LinkFaults::default())).collect(),
        });
        let voters: Vec<_> = ids.clone().map(|id| (id, 100 + id)).collect();
        let initial = PersistedState::bootstrap(Members::from_voters(&voters));
        let (result_sender, results) = channel();
        let mut threads = Vec::new();
        let mut shared = BTreeMap::new();
        for (id, inbox) in ids.zip(inboxes) {
            let settings = ReplicaSettings {
                id,
                disk: 100 + id,
                ..ReplicaSettings::default()
            };
            let opened = open_log(&folder.join(id.to_string()), &initial);
            let opened = opened.unwrap_or_else(|error| panic!("{error}"));
            let results = result_sender.clone();
            let started =
                ReplicaRunner::start(settings, opened, &network, inbox, results, added_sync);
            threads.extend(started.0);
            shared.insert(id, started.1);
        }
        let group = Self {
            network,
            results,
            shared,
            threads,
            folder,
        };
        group.wait_for_leader();
        group
    }

    /// Waits until a replica is the leader and returns its id.
    pub fn wait_for_leader(&self) -> u64 {
        loop {
            if let Some(leader) = self.leader() {
                return leader;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Returns the id of the leader with the highest term; `None` without a leader.
    pub fn leader(&self) -> Option<u64> {
        let mut latest = None;
        for (&id, shared) in &self.shared {
            let status = shared.status.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(status) = status.as_ref() else {
                continue;
            };
            if status.role == Role::Leader {
                latest = latest.max(Some((status.term, id)));
            }
        }
        latest.map(|(_, id)| id)
    }

    /// Proposes an entry of 200 bytes to replica `to`. Returns the time of the
    /// proposal.
    pub fn propose(&self, to: u64, ticket: Ticket) -> Instant {
        let began = Instant::now();
        let data = vec![7; 200];
        let input = Input::Propose { ticket, data };
        drop(self.network.sender(to).send(ReplicaMessage::Input(input)));
        began
    }

    /// Returns the number of syncs of a replica's log.
    pub fn syncs(&self, id: u64) -> usize {
        self.shared[&id].syncs.load(Ordering::Relaxed)
    }

    /// Stops a replica without notifying the others.
    pub fn stop(&self, id: u64) {
        drop(self.network.sender(id).send(ReplicaMessage::Stop));
    }
}

impl Drop for ReplicaGroup {
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
