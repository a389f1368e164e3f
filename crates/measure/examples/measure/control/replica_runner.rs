//! A replica with its two threads: one runs the event loop, the other writes and
//! syncs the log.

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

/// Message to the event loop of a replica.
pub enum ReplicaMessage {
    Input(Input),
    /// Ends both threads without notifying the other replicas.
    Stop,
}

/// Ticket of a proposal, and the log index of the committed entry or the reason why
/// its commit is not confirmed.
pub type ProposalResult = (Ticket, Result<LogIndex, ProposeError>);

/// State of a replica that the measuring thread reads.
#[derive(Default)]
pub struct SharedState {
    /// Status after the latest tick or change of leader; `None` before the first.
    pub status: Mutex<Option<Status>>,
    /// Number of log syncs so far.
    pub syncs: AtomicUsize,
}

/// Event loop of a replica.
pub struct ReplicaRunner {
    id: u64,
    replica: Replica,
    network: Arc<Network>,
    results: Sender<ProposalResult>,
    disk: Sender<Persist>,
    shared: Arc<SharedState>,
}

impl ReplicaRunner {
    /// Starts both threads of a replica. Each sync takes `added_sync` longer than
    /// the disk needs.
    pub fn start(
        settings: ReplicaSettings,
        (log, restored): (Log, PersistedState),
        network: &Arc<Network>,
        inbox: Receiver<ReplicaMessage>,
        results: Sender<ProposalResult>,
        added_sync: Duration,
    ) -> (Vec<JoinHandle<()>>, Arc<SharedState>) {
        let id = settings.id;
        let shared = Arc::new(SharedState::default());
        let (disk, writes) = channel();
        let to_replica = network.sender(id);
        let disk_shared = Arc::clone(&shared);
        let disk_thread = thread::spawn(move || {
            run_log_writer(log, &writes, &disk_shared.syncs, added_sync, |result| {
                let input = match result {
                    Ok(sequence) => Input::Synced { sequence },
                    Err(error) => {
                        eprintln!("replica {id}: cannot write the log: {error}");
                        Input::DiskFailed
                    }
                };
                to_replica.send(ReplicaMessage::Input(input)).is_ok()
            });
        });
        let runner = Self {
            id,
            replica: Replica::new(settings, restored, id, Instant::now()),
            network: Arc::clone(network),
            results,
            disk,
            shared: Arc::clone(&shared),
        };
        let loop_thread = thread::spawn(move || runner.run(&inbox));
        (vec![disk_thread, loop_thread], shared)
    }

    fn run(mut self, inbox: &Receiver<ReplicaMessage>) {
        self.handle_input(Input::Tick);
        loop {
            let wait = self.replica.next_deadline();
            let wait = wait.saturating_duration_since(Instant::now());
            match inbox.recv_timeout(wait) {
                Ok(ReplicaMessage::Input(input)) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => self.handle_input(Input::Tick),
                Ok(ReplicaMessage::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        let is_tick = matches!(input, Input::Tick);
        let outputs = self.replica.handle(input, Instant::now());
        let mut leader_changed = false;
        for output in outputs {
            match output {
                Output::Persist(write) => drop(self.disk.send(write)),
                Output::Send { to, message } => self.network.send(self.id, to, message),
                Output::Done { ticket, result } => drop(self.results.send((ticket, result))),
                Output::LeaderChanged { .. } => leader_changed = true,
                Output::Violation(violation) => eprintln!("replica {}: {violation}", self.id),
                Output::Apply { .. }
                | Output::Restore { .. }
                | Output::MembersChanged { .. }
                | Output::Identity(_) => {}
            }
        }
        if is_tick || leader_changed {
            let mut status = self
                .shared
                .status
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *status = Some(self.replica.status());
        }
    }
}

/// Writes all queued entries, syncs once and calls `on_synced` with the sequence
/// number of the last write, or the error. Repeats this until `on_synced` returns
/// false or the sender of `writes` is dropped.
pub fn run_log_writer(
    mut log: Log,
    writes: &Receiver<Persist>,
    syncs: &AtomicUsize,
    added_sync: Duration,
    on_synced: impl Fn(Result<u64, StorageError>) -> bool,
) {
    while let Ok(first) = writes.recv() {
        let result = write_batch(&mut log, &first, writes);
        syncs.fetch_add(1, Ordering::Relaxed);
        thread::sleep(added_sync);
        if !on_synced(result) {
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

/// Creates a log in `path` with the state `initial` and opens it again. Returns
/// the log and the state read from it.
pub fn open_log(
    path: &Path,
    initial: &PersistedState,
) -> Result<(Log, PersistedState), StorageError> {
    let folder = bamboospur_storage::DataFolder::open(path)?;
    let (mut log, _) = folder.open_log(bamboospur_storage::LogSettings::default())?;
    log.write(&initial.to_persist())?;
    log.sync()?;
    drop(log);
    folder.open_log(bamboospur_storage::LogSettings::default())
}
