//! One replica with its two threads: the loop that drives it, and the disk.

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bamboospur_agreement::{
    Input, LogIndex, Output, Persist, PersistedState, ProposeError, Replica, ReplicaSettings,
    Status, Ticket,
};
use bamboospur_storage::{Log, StorageError};

use super::group::Network;

/// Message to a host.
pub enum ToHost {
    /// Input for the replica.
    Feed(Input),
    /// Ends the threads without a word to the others.
    Stop,
}

/// Result of a proposal.
pub type Done = (Ticket, Result<LogIndex, ProposeError>);

/// State of a host that others read.
#[derive(Default)]
pub struct Shared {
    /// Latest status of the replica.
    pub status: Mutex<Option<Status>>,
    /// Syncs of the log.
    pub syncs: AtomicUsize,
}

/// Runs a replica until it is stopped.
pub struct Host {
    id: u64,
    replica: Replica,
    network: Arc<Network>,
    done: Sender<Done>,
    disk: Sender<Persist>,
    shared: Arc<Shared>,
}

impl Host {
    /// Starts the threads of a replica.
    pub fn start(
        settings: ReplicaSettings,
        (log, restored): (Log, PersistedState),
        network: &Arc<Network>,
        inbox: Receiver<ToHost>,
        done: Sender<Done>,
        added_sync: Duration,
    ) -> (Vec<JoinHandle<()>>, Arc<Shared>) {
        let id = settings.id;
        let shared = Arc::new(Shared::default());
        let (disk, writes) = channel();
        let to_host = network.sender(id);
        let counted = Arc::clone(&shared);
        let disk_thread = thread::spawn(move || {
            run_disk(log, &writes, &counted.syncs, added_sync, |result| {
                let input = match result {
                    Ok(sequence) => Input::Synced { sequence },
                    Err(error) => {
                        eprintln!("{error}");
                        Input::DiskFailed
                    }
                };
                to_host.send(ToHost::Feed(input)).is_ok()
            });
        });
        let host = Self {
            id,
            replica: Replica::new(settings, restored, id, Instant::now()),
            network: Arc::clone(network),
            done,
            disk,
            shared: Arc::clone(&shared),
        };
        let loop_thread = thread::spawn(move || host.run(&inbox));
        (vec![disk_thread, loop_thread], shared)
    }

    fn run(mut self, inbox: &Receiver<ToHost>) {
        self.feed(Input::Tick);
        loop {
            let wait = self.replica.next_deadline();
            let wait = wait.saturating_duration_since(Instant::now());
            match inbox.recv_timeout(wait) {
                Ok(ToHost::Feed(input)) => self.feed(input),
                Err(RecvTimeoutError::Timeout) => self.feed(Input::Tick),
                Ok(ToHost::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn feed(&mut self, input: Input) {
        let is_tick = matches!(input, Input::Tick);
        let outputs = self.replica.handle(input, Instant::now());
        let mut leadership = false;
        for output in outputs {
            match output {
                Output::Persist(write) => drop(self.disk.send(write)),
                Output::Send { to, message } => self.network.send(self.id, to, message),
                Output::Done { ticket, result } => drop(self.done.send((ticket, result))),
                Output::LeaderChanged { .. } => leadership = true,
                Output::Violation(violation) => eprintln!("replica {}: {violation}", self.id),
                Output::Apply { .. }
                | Output::Restore { .. }
                | Output::MembersChanged { .. }
                | Output::Identity(_) => {}
            }
        }
        if is_tick || leadership {
            let mut status = self
                .shared
                .status
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *status = Some(self.replica.status());
        }
    }
}

/// Writes everything that waits, then syncs once and reports it, until the
/// host is gone.
pub fn run_disk(
    mut log: Log,
    writes: &Receiver<Persist>,
    syncs: &AtomicUsize,
    added_sync: Duration,
    report: impl Fn(Result<u64, StorageError>) -> bool,
) {
    while let Ok(first) = writes.recv() {
        let result = write_batch(&mut log, &first, writes);
        syncs.fetch_add(1, Ordering::Relaxed);
        thread::sleep(added_sync);
        if !report(result) {
            return;
        }
    }
}

fn write_batch(
    log: &mut Log,
    first: &Persist,
    writes: &Receiver<Persist>,
) -> Result<u64, StorageError> {
    log.write(first)?;
    while let Ok(next) = writes.try_recv() {
        log.write(&next)?;
    }
    Ok(log.sync()?.sequence)
}

/// Opens the log of a member in a folder of its own.
pub fn open_log(
    path: &Path,
    first: &PersistedState,
) -> Result<(Log, PersistedState), StorageError> {
    let folder = bamboospur_storage::DataFolder::open(path)?;
    let (mut log, _) = folder.open_log(bamboospur_storage::LogSettings::default())?;
    log.write(&first.to_persist())?;
    log.sync()?;
    drop(log);
    folder.open_log(bamboospur_storage::LogSettings::default())
}
