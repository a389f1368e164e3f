//! A control group of members with real syncs, and channels between them.

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

use super::host::{open_log, run_disk};

static FOLDERS: AtomicUsize = AtomicUsize::new(0);

enum ToMember {
    Feed(Box<MemberInput>),
    Stop,
}

/// Answer to a client, with the time at which the member gave it.
pub struct Reply {
    pub ticket: Ticket,
    pub at: Instant,
    pub answer: Result<Response, MemberError>,
}

/// Takes each change of the settings of one member.
pub type Publish = Box<dyn FnMut(&Diff) + Send>;

/// A running group.
pub struct MemberGroup {
    /// Answers to all requests.
    pub replies: Receiver<Reply>,
    senders: BTreeMap<u64, Sender<ToMember>>,
    leader: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
    folder: PathBuf,
}

struct Driver {
    id: u64,
    member: Member,
    senders: BTreeMap<u64, Sender<ToMember>>,
    disk: Sender<bamboospur_agreement::Persist>,
    replies: Sender<Reply>,
    leader: Arc<AtomicU64>,
    publish: Publish,
}

impl MemberGroup {
    /// Starts a member for each way to publish and waits for a leader.
    pub fn start(publish: Vec<Publish>, added_sync: Duration) -> Result<Self, String> {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let name = format!("bamboospur-measure-members-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let ids: Vec<u64> = (1..).take(publish.len()).collect();
        let voters: Vec<_> = ids.iter().map(|id| (*id, 100 + id)).collect();
        let first = PersistedState::bootstrap(Members::from_voters(&voters));
        let (senders, inboxes): (Vec<_>, Vec<_>) = ids.iter().map(|_| channel()).unzip();
        let senders: BTreeMap<_, _> = ids.iter().copied().zip(senders).collect();
        let (reply_sender, replies) = channel();
        let leader = Arc::<AtomicU64>::default();
        let mut threads = Vec::new();
        for ((id, inbox), publish) in ids.into_iter().zip(inboxes).zip(publish) {
            let opened = open_log(&folder.join(id.to_string()), &first);
            let (log, restored) = opened.map_err(|error| error.to_string())?;
            let (disk, writes) = channel();
            let to_member = senders[&id].clone();
            threads.push(thread::spawn(move || {
                run_disk(log, &writes, &AtomicUsize::new(0), added_sync, |result| {
                    let input = match result {
                        Ok(sequence) => MemberInput::Synced { sequence },
                        Err(_) => MemberInput::DiskFailed,
                    };
                    to_member.send(ToMember::Feed(Box::new(input))).is_ok()
                });
            }));
            let driver = Driver {
                id,
                member: Member::new(settings(id), restored, id, Instant::now()),
                senders: senders.clone(),
                disk,
                replies: reply_sender.clone(),
                leader: Arc::clone(&leader),
                publish,
            };
            threads.push(thread::spawn(move || driver.run(&inbox)));
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

    /// Hands a request to the leader.
    pub fn request(&self, ticket: Ticket, request: Request) {
        let leader = self.leader.load(Ordering::Relaxed);
        let input = MemberInput::Request { ticket, request };
        // Without a leader the request is lost and counts as failed.
        if let Some(sender) = self.senders.get(&leader) {
            drop(sender.send(ToMember::Feed(Box::new(input))));
        }
    }
}

impl Drop for MemberGroup {
    fn drop(&mut self) {
        for sender in self.senders.values() {
            drop(sender.send(ToMember::Stop));
        }
        for thread in self.threads.drain(..) {
            drop(thread.join());
        }
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

fn settings(id: u64) -> MemberSettings {
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

impl Driver {
    fn run(mut self, inbox: &Receiver<ToMember>) {
        self.feed(MemberInput::Tick);
        loop {
            let wait = self.member.next_deadline();
            let wait = wait.saturating_duration_since(Instant::now());
            match inbox.recv_timeout(wait) {
                Ok(ToMember::Feed(input)) => self.feed(*input),
                Err(RecvTimeoutError::Timeout) => self.feed(MemberInput::Tick),
                Ok(ToMember::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn feed(&mut self, input: MemberInput) {
        let outputs = self.member.handle(input, Instant::now(), SystemTime::now());
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: MemberOutput) {
        match output {
            MemberOutput::Persist(write) => drop(self.disk.send(write)),
            MemberOutput::Send { to, message } => {
                let from = self.id;
                let input = MemberInput::PeerMessage { from, message };
                if let Some(sender) = self.senders.get(&to) {
                    drop(sender.send(ToMember::Feed(Box::new(input))));
                }
            }
            MemberOutput::Reply { ticket, answer } => {
                let at = Instant::now();
                drop(self.replies.send(Reply { ticket, at, answer }));
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
