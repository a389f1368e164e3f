//! A group of control members in one process, connected by channels, with real
//! syncs.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime};

use bamboospur_agreement::{Members, PersistedState, ReplicaSettings, Ticket};
use bamboospur_control::{
    Member, MemberError, MemberInput, MemberOutput, MemberSettings, Request, Response,
};
use bamboospur_settings::Diff;

use super::replica_runner::{open_log, run_log_writer};

/// Numbers the folders, so that two groups of one process never share a folder.
static NEXT_FOLDER_NUMBER: AtomicUsize = AtomicUsize::new(0);

enum MemberMessage {
    Input(Box<MemberInput>),
    Stop,
}

/// Answer of a member to a request, and the time of the answer.
pub struct MemberReply {
    pub ticket: Ticket,
    pub answered_at: Instant,
    pub answer: Result<Response, MemberError>,
}

/// Called with each change of the settings that a member would send to its
/// followers.
pub type PublishSettings = Box<dyn FnMut(&Diff) + Send>;

/// A running group. Dropping it stops all threads and removes the logs.
pub struct MemberGroup {
    /// Answers of all members.
    pub replies: Receiver<MemberReply>,
    senders: BTreeMap<u64, Sender<MemberMessage>>,
    leader: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
    folder: PathBuf,
}

/// Event loop of a member.
struct MemberRunner {
    id: u64,
    member: Member,
    senders: BTreeMap<u64, Sender<MemberMessage>>,
    disk: Sender<bamboospur_agreement::Persist>,
    replies: Sender<MemberReply>,
    leader: Arc<AtomicU64>,
    publish: PublishSettings,
}

impl MemberGroup {
    /// Starts one member for each item of `publishers` and waits for a leader. Each
    /// sync takes `added_sync` longer than the disk needs.
    pub fn start(publishers: Vec<PublishSettings>, added_sync: Duration) -> Result<Self, String> {
        let number = NEXT_FOLDER_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("bamboospur-measure-members-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let ids: Vec<u64> = (1..).take(publishers.len()).collect();
        let voters: Vec<_> = ids.iter().map(|id| (*id, 100 + id)).collect();
        let initial = PersistedState::bootstrap(Members::from_voters(&voters));
        let (senders, inboxes): (Vec<_>, Vec<_>) = ids.iter().map(|_| channel()).unzip();
        let senders: BTreeMap<_, _> = ids.iter().copied().zip(senders).collect();
        let (reply_sender, replies) = channel();
        let leader = Arc::<AtomicU64>::default();
        let mut threads = Vec::new();
        for ((id, inbox), publish) in ids.into_iter().zip(inboxes).zip(publishers) {
            let opened = open_log(&folder.join(id.to_string()), &initial);
            let (log, restored) = opened.map_err(|error| error.to_string())?;
            let (disk, writes) = channel();
            let to_member = senders[&id].clone();
            threads.push(thread::spawn(move || {
                run_log_writer(log, &writes, &AtomicUsize::new(0), added_sync, |result| {
                    let input = match result {
                        Ok(sequence) => MemberInput::Synced { sequence },
                        Err(_) => MemberInput::DiskFailed,
                    };
                    to_member
                        .send(MemberMessage::Input(Box::new(input)))
                        .is_ok()
                });
            }));
            let runner = MemberRunner {
                id,
                member: Member::new(member_settings(id), restored, id, Instant::now()),
                senders: senders.clone(),
                disk,
                replies: reply_sender.clone(),
                leader: Arc::clone(&leader),
                publish,
            };
            threads.push(thread::spawn(move || runner.run(&inbox)));
        }
        let group = Self {
            replies,
            senders,
            leader,
            threads,
            folder,
        };
        while group.leader.load(Ordering::Relaxed) == 0 {
            thread::sleep(Duration::from_millis(2));
        }
        Ok(group)
    }

    /// Sends a request to the leader.
    pub fn request(&self, ticket: Ticket, request: Request) {
        let leader = self.leader.load(Ordering::Relaxed);
        let input = MemberInput::Request { ticket, request };
        // Without a leader the request is dropped; the caller then counts the
        // request as failed or times out.
        if let Some(sender) = self.senders.get(&leader) {
            drop(sender.send(MemberMessage::Input(Box::new(input))));
        }
    }
}

impl Drop for MemberGroup {
    fn drop(&mut self) {
        for sender in self.senders.values() {
            drop(sender.send(MemberMessage::Stop));
        }
        for thread in self.threads.drain(..) {
            drop(thread.join());
        }
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

fn member_settings(id: u64) -> MemberSettings {
    MemberSettings {
        replica: ReplicaSettings {
            id,
            disk: 100 + id,
            ..ReplicaSettings::default()
        },
        process: id,
        ..MemberSettings::default()
    }
}

impl MemberRunner {
    fn run(mut self, inbox: &Receiver<MemberMessage>) {
        self.handle_input(MemberInput::Tick);
        loop {
            let wait = self.member.next_deadline();
            let wait = wait.saturating_duration_since(Instant::now());
            match inbox.recv_timeout(wait) {
                Ok(MemberMessage::Input(input)) => self.handle_input(*input),
                Err(RecvTimeoutError::Timeout) => self.handle_input(MemberInput::Tick),
                Ok(MemberMessage::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn handle_input(&mut self, input: MemberInput) {
        let outputs = self.member.handle(input, Instant::now(), SystemTime::now());
        for output in outputs {
            self.handle_output(output);
        }
    }

    fn handle_output(&mut self, output: MemberOutput) {
        match output {
            MemberOutput::Persist(write) => drop(self.disk.send(write)),
            MemberOutput::Send { to, message } => {
                let from = self.id;
                let input = MemberInput::PeerMessage { from, message };
                if let Some(sender) = self.senders.get(&to) {
                    drop(sender.send(MemberMessage::Input(Box::new(input))));
                }
            }
            MemberOutput::Reply { ticket, answer } => {
                let answered_at = Instant::now();
                drop(self.replies.send(MemberReply {
                    ticket,
                    answered_at,
                    answer,
                }));
            }
            MemberOutput::Settings(diff) => (self.publish)(&diff),
            MemberOutput::Leadership { leader, .. } => {
                if leader == Some(self.id) {
                    self.leader.store(self.id, Ordering::Relaxed);
                }
            }
            MemberOutput::Violation(message) | MemberOutput::Fatal(message) => {
                eprintln!("member {}: {message}", self.id);
            }
            MemberOutput::Order(_)
            | MemberOutput::MembersChanged { .. }
            | MemberOutput::Identity(_) => {}
        }
    }
}
