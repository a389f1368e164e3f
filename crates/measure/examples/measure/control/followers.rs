//! Measures the time until a change of the settings is in force on 420 followers.
//!
//! Three members with real syncs send each change to 140 followers each over
//! loopback TCP connections. A frame is a length and the bytes of `encode_diff`,
//! without the keyed hash, the heartbeats and the Cap'n Proto frame of a fleet
//! link. As on a fleet link, each connection has its own queue and writing thread.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use bamboospur_control::{Command, Reply, Request, Response, decode_diff, encode_diff};
use bamboospur_settings::{ApplyOutcome, BranchName, Change, Diff, Follower, Revision};

use super::members::{MemberGroup, PublishSettings};
use super::sample::{TEAM_COUNT, all_changes, branch_change, team_name, team_toml};

const MEMBER_COUNT: usize = 3;
/// Followers at the large fleet size.
pub const FOLLOWER_COUNT: usize = 420;
/// Enough for the reading thread, which decodes one branch at a time.
const THREAD_STACK_BYTES: usize = 512 * 1024;
/// Changes in flight while the initial tree is built. With all 11,000 at once the
/// leader is busy for longer than an election time-out and loses the leadership.
const CHANGES_IN_FLIGHT: usize = 16;
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Propagation times of a series of changes, and message sizes.
#[derive(Debug)]
pub struct PropagationTimes {
    /// From the acceptance of a change until it is in force on the last follower;
    /// sorted.
    pub after_acceptance_s: Vec<f64>,
    /// From the request of an operator until the change is in force on the last
    /// follower; sorted.
    pub after_request_s: Vec<f64>,
    /// Size of one encoded change; 0 if the members did not return one.
    pub diff_bytes: usize,
    /// Size of the encoded settings tree.
    pub full_bytes: usize,
}

/// A revision, and when one follower had put it in force.
type AppliedRevision = (Revision, Instant);

/// A group of members, each connected to its share of the followers.
struct Fanout {
    group: MemberGroup,
    applied: Receiver<AppliedRevision>,
    last_ticket: u64,
    full_bytes: usize,
}

/// Makes `changes` changes, each of another team, and pauses for `pause` after the
/// acceptance of each. Without a pause all changes are proposed at once.
pub fn measure_followers(changes: u64, pause: Duration) -> Result<PropagationTimes, String> {
    let mut fanout = Fanout::start()?;
    let mut requested = Vec::new();
    let mut accepted = Vec::new();
    let base_revision = TEAM_COUNT + 1;
    let mut diff_bytes = 0;
    for number in 0..changes {
        let name = BranchName::Team(team_name(number));
        // The version of a branch is the revision that set it. The fleet's branch
        // has revision 1, so team 0 has version 2.
        let edit = branch_change(
            format!("edit-{number}"),
            name,
            number + 2,
            &team_toml(number, 1),
        )?;
        requested.push(Instant::now());
        fanout.propose(edit);
        if !pause.is_zero() {
            accepted.push(fanout.wait_for_acceptance()?);
            thread::sleep(pause);
        }
    }
    while accepted.len() < requested.len() {
        accepted.push(fanout.wait_for_acceptance()?);
    }
    let last = fanout.wait_until_in_force(base_revision, changes)?;
    if let Ok(diff) = fanout.request_diff(base_revision + changes - 1) {
        diff_bytes = diff.len();
    }
    let seconds = |from: &[Instant]| {
        let pairs = last.iter().zip(from);
        let times = pairs.map(|(last, from)| last.saturating_duration_since(*from).as_secs_f64());
        let mut times: Vec<f64> = times.collect();
        times.sort_by(f64::total_cmp);
        times
    };
    Ok(PropagationTimes {
        after_acceptance_s: seconds(&accepted),
        after_request_s: seconds(&requested),
        diff_bytes,
        full_bytes: fanout.full_bytes,
    })
}

impl Fanout {
    fn start() -> Result<Self, String> {
        let (sender, applied) = channel();
        let (initial_senders, initial_receivers): (Vec<_>, Vec<_>) =
            (0..FOLLOWER_COUNT).map(|_| channel()).unzip();
        let mut queues: Vec<Vec<_>> = (0..MEMBER_COUNT).map(|_| Vec::new()).collect();
        for (number, initial) in initial_receivers.into_iter().enumerate() {
            queues[number % MEMBER_COUNT].push(start_follower(initial, sender.clone())?);
        }
        let publishing = Arc::new(AtomicBool::new(false));
        let publishers = queues
            .into_iter()
            .map(|queues| new_publisher(queues, &publishing));
        let publishers = publishers.collect();
        let mut fanout = Self {
            group: MemberGroup::start(publishers, Duration::ZERO)?,
            applied,
            last_ticket: 0,
            full_bytes: 0,
        };
        for (number, change) in all_changes()?.into_iter().enumerate() {
            fanout.propose(change);
            // From here on, each further proposal waits for an earlier one.
            if number >= CHANGES_IN_FLIGHT {
                fanout.wait_for_acceptance()?;
            }
        }
        for _ in 0..CHANGES_IN_FLIGHT {
            fanout.wait_for_acceptance()?;
        }
        let bytes = fanout.request_diff(0)?;
        fanout.full_bytes = bytes.len();
        let diff = decode_diff(&bytes).map_err(|error| error.to_string())?;
        let mut follower = Follower::default();
        follower.apply(&diff);
        for initial in initial_senders {
            drop(initial.send(Follower::new(follower.tree().clone())));
        }
        publishing.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_secs(1));
        Ok(fanout)
    }

    fn propose(&mut self, change: Change) {
        self.last_ticket += 1;
        let request = Request::Command(Command::Change(change));
        self.group.request(self.last_ticket, request);
    }

    fn wait_for_acceptance(&self) -> Result<Instant, String> {
        let reply = self.group.replies.recv_timeout(WAIT_TIMEOUT);
        let reply = reply.map_err(|_| "no member answered a change in time")?;
        match reply.answer {
            Ok(Response::Applied(Reply::Change(Ok(_)))) => Ok(reply.answered_at),
            other => Err(format!("a change was refused: {other:?}")),
        }
    }

    fn request_diff(&mut self, since: Revision) -> Result<Vec<u8>, String> {
        self.last_ticket += 1;
        self.group
            .request(self.last_ticket, Request::Changes { since });
        let reply = self.group.replies.recv_timeout(WAIT_TIMEOUT);
        match reply
            .map_err(|_| "no member sent the settings in time")?
            .answer
        {
            Ok(Response::Changes(diff)) => encode_diff(&diff).map_err(|error| error.to_string()),
            other => Err(format!("the request for settings was refused: {other:?}")),
        }
    }

    /// Waits until `changes` changes after `base_revision` are in force on all
    /// followers. Returns the time at which each was in force on the last one.
    fn wait_until_in_force(
        &self,
        base_revision: Revision,
        changes: u64,
    ) -> Result<Vec<Instant>, String> {
        let count = usize::try_from(changes).unwrap_or(usize::MAX);
        let mut last = vec![None; count];
        let mut seen = vec![0; count];
        while seen.iter().any(|seen| *seen < FOLLOWER_COUNT) {
            let next = self.applied.recv_timeout(WAIT_TIMEOUT);
            let (revision, at) =
                next.map_err(|_| "a change was not in force on all followers in time")?;
            let Some(index) = revision.checked_sub(base_revision + 1) else {
                continue;
            };
            let index = usize::try_from(index).unwrap_or(usize::MAX);
            if index < count {
                seen[index] += 1;
                last[index] = last[index].max(Some(at));
            }
        }
        Ok(last.into_iter().flatten().collect())
    }
}

/// Returns the callback of a member: once `publishing` is set, it encodes each
/// change once and queues the bytes for all followers of the member.
fn new_publisher(
    queues: Vec<Sender<Arc<Vec<u8>>>>,
    publishing: &Arc<AtomicBool>,
) -> PublishSettings {
    let publishing = Arc::clone(publishing);
    Box::new(move |diff: &Diff| {
        if !publishing.load(Ordering::Relaxed) {
            return;
        }
        match encode_diff(diff) {
            Ok(bytes) => {
                let bytes = Arc::new(bytes);
                for queue in &queues {
                    drop(queue.send(Arc::clone(&bytes)));
                }
            }
            Err(error) => {
                eprintln!("a change was not sent to the followers: cannot encode it: {error}");
            }
        }
    })
}

/// Connects a follower and starts its threads. Returns the queue of frames to the
/// follower, which starts to read once it has its state from `initial`.
fn start_follower(
    initial: Receiver<Follower>,
    applied: Sender<AppliedRevision>,
) -> Result<Sender<Arc<Vec<u8>>>, String> {
    let to_message = |error: std::io::Error| error.to_string();
    let listener = TcpListener::bind("127.0.0.1:0").map_err(to_message)?;
    let address = listener.local_addr().map_err(to_message)?;
    let read_stream = TcpStream::connect(address).map_err(to_message)?;
    let (mut write_stream, _) = listener.accept().map_err(to_message)?;
    write_stream.set_nodelay(true).map_err(to_message)?;
    let (queue, frames) = channel::<Arc<Vec<u8>>>();
    let builder = || thread::Builder::new().stack_size(THREAD_STACK_BYTES);
    let write = move || {
        for frame in frames {
            let length = u32::try_from(frame.len()).unwrap_or(u32::MAX);
            let bytes = [&length.to_le_bytes(), frame.as_slice()].concat();
            if write_stream.write_all(&bytes).is_err() {
                return;
            }
        }
    };
    builder().spawn(write).map_err(to_message)?;
    let follow = move || {
        if let Ok(follower) = initial.recv() {
            // The connection is closed at the end of the run, so an error is expected.
            let _ = apply_frames(follower, read_stream, &applied);
        }
    };
    builder().spawn(follow).map_err(to_message)?;
    Ok(queue)
}

/// Applies frames until the connection is closed.
fn apply_frames(
    mut follower: Follower,
    mut stream: TcpStream,
    applied: &Sender<AppliedRevision>,
) -> std::io::Result<()> {
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let length = usize::try_from(u32::from_le_bytes(length)).unwrap_or(usize::MAX);
        let mut bytes = vec![0; length];
        stream.read_exact(&mut bytes)?;
        let diff = decode_diff(&bytes).map_err(std::io::Error::other)?;
        if let ApplyOutcome::Applied { revision } = follower.apply(&diff) {
            // The receiver is dropped at the end of the run.
            let _ = applied.send((revision, Instant::now()));
        }
    }
}
