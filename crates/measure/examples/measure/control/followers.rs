//! Time until a change is in force on 420 followers.
//!
//! Three members with real syncs publish to 140 followers each over loopback
//! TCP connections. A frame is a length and the bytes of `encode_diff`, without
//! the keyed hash, the heartbeats and the Cap'n Proto frame of a fleet link. As
//! on a fleet link, each connection has a queue and a writing thread of its own.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use bamboospur_control::{Command, Reply, Request, Response, decode_diff, encode_diff};
use bamboospur_settings::{ApplyOutcome, BranchName, Change, Diff, Follower, Revision};

use super::members::{MemberGroup, Publish};
use super::sample::{TEAMS, all_changes, change, team_name, team_toml};

const MEMBERS: usize = 3;
/// Followers of the large size.
pub const FOLLOWERS: usize = 420;
/// The reading thread decodes one branch at a time.
const STACK_BYTES: usize = 512 * 1024;
/// First changes in flight. With all 11,000 at once the leader is busy for longer
/// than an election time-out and loses its term.
const IN_FLIGHT: usize = 16;
const PATIENCE: Duration = Duration::from_secs(20);

/// Times of one series of changes, in seconds.
#[derive(Debug)]
pub struct Spread {
    /// From acceptance to in force on the last follower, sorted.
    pub in_force_s: Vec<f64>,
    /// From the operator's request to in force on the last follower, sorted.
    pub request_s: Vec<f64>,
    /// Bytes of one encoded difference.
    pub diff_bytes: usize,
    /// Bytes of the encoded copy of the whole tree.
    pub full_bytes: usize,
}

type InForce = (Revision, Instant);

struct Fanout {
    group: MemberGroup,
    in_force: Receiver<InForce>,
    ticket: u64,
    full_bytes: usize,
}

/// Changes one team at a time, `changes` times, `pause` apart; without a pause
/// all are proposed at once.
pub fn measure_followers(changes: u64, pause: Duration) -> Result<Spread, String> {
    let mut fanout = Fanout::start()?;
    let mut requested = Vec::new();
    let mut accepted = Vec::new();
    let base = TEAMS + 1;
    let mut diff_bytes = 0;
    for number in 0..changes {
        let name = BranchName::Team(team_name(number));
        // The fleet's branch has revision 1, so team 0 has version 2.
        let edit = change(
            format!("edit-{number}"),
            name,
            number + 2,
            &team_toml(number, 1),
        )?;
        requested.push(Instant::now());
        fanout.propose(edit);
        if !pause.is_zero() {
            accepted.push(fanout.accepted()?);
            thread::sleep(pause);
        }
    }
    while accepted.len() < requested.len() {
        accepted.push(fanout.accepted()?);
    }
    let last = fanout.last_in_force(base, changes)?;
    if let Ok(diff) = fanout.diff(base + changes - 1) {
        diff_bytes = diff.len();
    }
    let seconds = |from: &[Instant]| {
        let pairs = last.iter().zip(from);
        let times = pairs.map(|(last, from)| last.saturating_duration_since(*from).as_secs_f64());
        let mut times: Vec<f64> = times.collect();
        times.sort_by(f64::total_cmp);
        times
    };
    Ok(Spread {
        in_force_s: seconds(&accepted),
        request_s: seconds(&requested),
        diff_bytes,
        full_bytes: fanout.full_bytes,
    })
}

impl Fanout {
    fn start() -> Result<Self, String> {
        let (sender, in_force) = channel();
        let (base_senders, base_receivers): (Vec<_>, Vec<_>) =
            (0..FOLLOWERS).map(|_| channel()).unzip();
        let mut queues: Vec<Vec<_>> = (0..MEMBERS).map(|_| Vec::new()).collect();
        for (number, base) in base_receivers.into_iter().enumerate() {
            queues[number % MEMBERS].push(connect(base, sender.clone())?);
        }
        let live = Arc::new(AtomicBool::new(false));
        let publish = queues.into_iter().map(|queues| publisher(queues, &live));
        let publish = publish.collect();
        let mut fanout = Self {
            group: MemberGroup::start(publish, Duration::ZERO)?,
            in_force,
            ticket: 0,
            full_bytes: 0,
        };
        for (number, change) in all_changes()?.into_iter().enumerate() {
            fanout.propose(change);
            // The first changes arrive in a stream and not all at once.
            if number >= IN_FLIGHT {
                fanout.accepted()?;
            }
        }
        for _ in 0..IN_FLIGHT {
            fanout.accepted()?;
        }
        let bytes = fanout.diff(0)?;
        fanout.full_bytes = bytes.len();
        let diff = decode_diff(&bytes).map_err(|error| error.to_string())?;
        let mut follower = Follower::default();
        follower.apply(&diff);
        for base in base_senders {
            drop(base.send(Follower::new(follower.tree().clone())));
        }
        live.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_secs(1));
        Ok(fanout)
    }

    fn propose(&mut self, change: Change) {
        self.ticket += 1;
        let request = Request::Command(Command::Change(change));
        self.group.request(self.ticket, request);
    }

    fn accepted(&self) -> Result<Instant, String> {
        let reply = self.group.replies.recv_timeout(PATIENCE);
        let reply = reply.map_err(|_| "a change was not answered")?;
        match reply.answer {
            Ok(Response::Applied(Reply::Change(Ok(_)))) => Ok(reply.at),
            other => Err(format!("a change was refused: {other:?}")),
        }
    }

    fn diff(&mut self, since: Revision) -> Result<Vec<u8>, String> {
        self.ticket += 1;
        self.group.request(self.ticket, Request::Changes { since });
        let reply = self.group.replies.recv_timeout(PATIENCE);
        match reply.map_err(|_| "no answer")?.answer {
            Ok(Response::Changes(diff)) => encode_diff(&diff).map_err(|error| error.to_string()),
            other => Err(format!("no settings: {other:?}")),
        }
    }

    /// Time at which each change after `base` was in force on the last follower.
    fn last_in_force(&self, base: Revision, changes: u64) -> Result<Vec<Instant>, String> {
        let count = usize::try_from(changes).unwrap_or(usize::MAX);
        let mut last = vec![None; count];
        let mut seen = vec![0; count];
        while seen.iter().any(|seen| *seen < FOLLOWERS) {
            let next = self.in_force.recv_timeout(PATIENCE);
            let (revision, at) = next.map_err(|_| "a change is not in force everywhere")?;
            let Some(index) = revision.checked_sub(base + 1) else {
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

/// Returns what a member does with a change once the run is live: it encodes it
/// once and queues it for all its followers.
fn publisher(queues: Vec<Sender<Arc<Vec<u8>>>>, live: &Arc<AtomicBool>) -> Publish {
    let live = Arc::clone(live);
    Box::new(move |diff: &Diff| {
        if !live.load(Ordering::Relaxed) {
            return;
        }
        match encode_diff(diff) {
            Ok(bytes) => {
                let bytes = Arc::new(bytes);
                for queue in &queues {
                    drop(queue.send(Arc::clone(&bytes)));
                }
            }
            Err(error) => eprintln!("a change was not published: {error}"),
        }
    })
}

/// Starts a follower and returns the queue of its connection.
fn connect(
    base: Receiver<Follower>,
    in_force: Sender<InForce>,
) -> Result<Sender<Arc<Vec<u8>>>, String> {
    let failed = |error: std::io::Error| error.to_string();
    let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let reading = TcpStream::connect(address).map_err(failed)?;
    let (mut writing, _) = listener.accept().map_err(failed)?;
    writing.set_nodelay(true).map_err(failed)?;
    let (queue, frames) = channel::<Arc<Vec<u8>>>();
    let builder = || thread::Builder::new().stack_size(STACK_BYTES);
    let write = move || {
        for frame in frames {
            let length = u32::try_from(frame.len()).unwrap_or(u32::MAX);
            let bytes = [&length.to_le_bytes(), frame.as_slice()].concat();
            if writing.write_all(&bytes).is_err() {
                return;
            }
        }
    };
    builder().spawn(write).map_err(failed)?;
    let follow = move || {
        if let Ok(follower) = base.recv() {
            // The connection ends with the run.
            let _ = follow(follower, reading, &in_force);
        }
    };
    builder().spawn(follow).map_err(failed)?;
    Ok(queue)
}

fn follow(
    mut follower: Follower,
    mut stream: TcpStream,
    in_force: &Sender<InForce>,
) -> std::io::Result<()> {
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let length = usize::try_from(u32::from_le_bytes(length)).unwrap_or(usize::MAX);
        let mut bytes = vec![0; length];
        stream.read_exact(&mut bytes)?;
        let diff = decode_diff(&bytes).map_err(std::io::Error::other)?;
        if let ApplyOutcome::Applied { revision } = follower.apply(&diff) {
            // Nobody waits for it after the run.
            let _ = in_force.send((revision, Instant::now()));
        }
    }
}
