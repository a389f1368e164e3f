//! One TCP link: handshake, a reading and a writing thread.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use bamboospur_types::InstanceId;
use bamboospur_wire::FleetKey;
use bamboospur_wire::link::{
    FRAME_HEADER_BYTES, Frame, FrameReader, FrameWriter, HELLO_BYTES, Hello, LinkError,
    NONCE_BYTES, Side, open_session,
};
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use tracing::{debug, info, warn};

use super::Traffic;
use super::beat::Beat;
use crate::actors::ControlMessage;
use crate::mailbox::{Mailbox, MainLoopMessage};

/// Time after which an idle end sends a sign of life. Two can be late before
/// the other end gives up.
const HEARTBEAT: Duration = Duration::from_millis(700);
/// Silence after which a link is given up, although TCP may still hold it.
const SILENCE: Duration = Duration::from_secs(2);
/// Unacknowledged data or a blocked write for this long end the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(5);
const KEEP_ALIVE: Duration = Duration::from_secs(10);
/// Frames that wait on one link. Agreement keeps at most 16 appends of 256 KB
/// in flight to a follower, the rest is small.
const QUEUE: usize = 1_024;
/// Frames written together are at most this large.
const WRITE_BYTES: usize = 64 * 1024;

/// Number of a link, never used twice in a process.
pub type LinkId = u64;

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Message of a link to the control actor.
#[derive(Debug)]
pub enum LinkMessage {
    /// The other end has proved that it belongs to the fleet.
    Up {
        /// Link.
        link: LinkId,
        /// The other end.
        peer: InstanceId,
        /// Whether it is a listed member of the control group.
        control: bool,
        /// Takes frames for the other end.
        queue: LinkSender,
    },
    /// A frame arrived.
    Frame {
        /// Link.
        link: LinkId,
        /// Frame.
        frame: Frame,
    },
    /// The link has ended.
    Down {
        /// Link.
        link: LinkId,
    },
}

#[derive(Debug)]
enum Item {
    Frame(Frame),
    Close,
}

/// Sending end of a link.
#[derive(Clone, Debug)]
pub struct LinkSender {
    sender: SyncSender<Item>,
    stream: Arc<TcpStream>,
}

impl LinkSender {
    /// Queues a frame; false when the queue is full or the link has ended.
    #[must_use]
    pub fn send(&self, frame: Frame) -> bool {
        self.sender.try_send(Item::Frame(frame)).is_ok()
    }

    /// Ends the link after the frames that wait, or at once when they are stuck.
    pub fn close(&self) {
        if matches!(
            self.sender.try_send(Item::Close),
            Err(TrySendError::Full(_))
        ) {
            // The connection may be gone already.
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}

/// What all links of an instance share.
#[derive(Debug)]
pub struct Shared {
    pub key: FleetKey,
    pub own: InstanceId,
    pub control: bool,
    pub mailbox: Mailbox,
    pub traffic: Arc<Traffic>,
    pub beat: Arc<Beat>,
    /// Links by their other end.
    pub connected: Arc<Mutex<BTreeMap<InstanceId, usize>>>,
}

impl Shared {
    /// Returns whether there is a link to an instance.
    pub fn is_connected(&self, peer: InstanceId) -> bool {
        let connected = self.connected.lock();
        let connected = connected.unwrap_or_else(PoisonError::into_inner);
        connected.get(&peer).is_some_and(|links| *links > 0)
    }

    fn count(&self, peer: InstanceId, change: isize) {
        let connected = self.connected.lock();
        let mut connected = connected.unwrap_or_else(PoisonError::into_inner);
        let links = connected.entry(peer).or_default();
        *links = links.saturating_add_signed(change);
    }
}

quick_error! {
    /// Why a link ended.
    #[derive(Debug)]
    pub enum EndError {
        /// The connection broke, was closed or fell silent.
        Io(error: io::Error) {
            from()
            display("{error}")
        }
        /// The other end broke the protocol.
        Protocol(error: LinkError) {
            from()
            display("{error}")
        }
    }
}

/// Ends of an open connection.
struct Open {
    peer: Hello,
    writer: FrameWriter,
    reader: FrameReader,
}

/// Runs the dialling end of a link until it ends.
pub fn dial(shared: &Shared, to: InstanceId, stream: TcpStream) -> Result<(), EndError> {
    prepare(&stream)?;
    let own = hello(shared, to)?;
    (&stream).write_all(&own.encode())?;
    let peer = read_hello(&stream)?;
    if peer.from != to || peer.to != shared.own {
        return Err(LinkError::WrongInstance { found: peer.from }.into());
    }
    let (writer, reader) = open_session(&shared.key, Side::Dialler, &own, &peer);
    let open = Open {
        peer,
        writer,
        reader,
    };
    run(shared, stream, open)
}

/// Runs the accepting end of a link until it ends.
pub fn accept(shared: &Shared, stream: TcpStream) -> Result<(), EndError> {
    prepare(&stream)?;
    let peer = read_hello(&stream)?;
    if peer.to != shared.own {
        return Err(LinkError::WrongInstance { found: peer.to }.into());
    }
    let own = hello(shared, peer.from)?;
    (&stream).write_all(&own.encode())?;
    let (writer, reader) = open_session(&shared.key, Side::Listener, &peer, &own);
    let open = Open {
        peer,
        writer,
        reader,
    };
    run(shared, stream, open)
}

fn prepare(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEP_ALIVE))?;
    stream.set_read_timeout(Some(SILENCE))?;
    stream.set_write_timeout(Some(USER_TIMEOUT))
}

fn hello(shared: &Shared, to: InstanceId) -> io::Result<Hello> {
    let mut nonce = [0; NONCE_BYTES];
    std::fs::File::open("/dev/urandom")?.read_exact(&mut nonce)?;
    Ok(Hello {
        from: shared.own,
        to,
        control: shared.control,
        nonce,
    })
}

fn read_hello(mut stream: &TcpStream) -> Result<Hello, EndError> {
    let mut bytes = [0; HELLO_BYTES];
    stream.read_exact(&mut bytes)?;
    Ok(Hello::decode(&bytes)?)
}

fn run(shared: &Shared, stream: TcpStream, open: Open) -> Result<(), EndError> {
    let Open {
        peer,
        mut writer,
        mut reader,
    } = open;
    // The first frame proves to the other end that this one has the secret.
    send_frames(&stream, &mut writer, shared, &[shared.beat.frame()])?;
    let first = read_frame(&stream, &mut reader, shared)?;
    let link = NEXT.fetch_add(1, Ordering::Relaxed);
    let stream = Arc::new(stream);
    let (sender, items) = sync_channel(QUEUE);
    let queue = LinkSender {
        sender,
        stream: Arc::clone(&stream),
    };
    shared.count(peer.from, 1);
    info!(peer = format!("{:016x}", peer.from), link, "a link is up");
    shared.tell(LinkMessage::Up {
        link,
        peer: peer.from,
        control: peer.control,
        queue,
    });
    shared.tell(LinkMessage::Frame { link, frame: first });
    let ended = thread::scope(|scope| {
        let writing_to = &stream;
        scope.spawn(move || {
            let ended = write(writing_to, &mut writer, shared, &items);
            if let Err(error) = ended {
                debug!(%error, link, "writing to a link failed");
            }
            // Wakes the reader; the connection may be gone already.
            let _ = writing_to.shutdown(Shutdown::Both);
        });
        let ended = read(&stream, &mut reader, shared, link);
        // The queue ends with this message, and the writer with its queue.
        let _ = stream.shutdown(Shutdown::Both);
        shared.tell(LinkMessage::Down { link });
        ended
    });
    shared.count(peer.from, -1);
    if let Err(error) = &ended {
        warn!(peer = format!("{:016x}", peer.from), link, %error, "a link has ended");
    }
    ended
}

impl Shared {
    fn tell(&self, mail: LinkMessage) {
        self.mailbox
            .send(MainLoopMessage::Control(ControlMessage::Link(mail)));
    }
}

fn read(
    stream: &TcpStream,
    reader: &mut FrameReader,
    shared: &Shared,
    link: LinkId,
) -> Result<(), EndError> {
    loop {
        let frame = read_frame(stream, reader, shared)?;
        if frame == Frame::Goodbye {
            return Ok(());
        }
        shared.tell(LinkMessage::Frame { link, frame });
    }
}

/// Reads one frame. Silence longer than the read time-out ends the link.
fn read_frame(
    mut stream: &TcpStream,
    reader: &mut FrameReader,
    shared: &Shared,
) -> Result<Frame, EndError> {
    let mut header = [0; FRAME_HEADER_BYTES];
    stream.read_exact(&mut header)?;
    let length = reader.body_bytes(&header)?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    let frame = reader.read(&header, &body)?;
    let bytes = FRAME_HEADER_BYTES + length;
    shared.traffic.frame_received(frame.kind(), bytes);
    Ok(frame)
}

fn write(
    stream: &TcpStream,
    writer: &mut FrameWriter,
    shared: &Shared,
    items: &Receiver<Item>,
) -> Result<(), EndError> {
    loop {
        match items.recv_timeout(HEARTBEAT) {
            Ok(Item::Frame(first)) => {
                let mut frames = vec![first];
                let mut close = false;
                let mut bytes = 0;
                while bytes < WRITE_BYTES {
                    match items.try_recv() {
                        Ok(Item::Frame(frame)) => {
                            bytes += size(&frame);
                            frames.push(frame);
                        }
                        Ok(Item::Close) => {
                            close = true;
                            break;
                        }
                        Err(_) => break,
                    }
                }
                send_frames(stream, writer, shared, &frames)?;
                if close {
                    return send_frames(stream, writer, shared, &[Frame::Goodbye]);
                }
            }
            Ok(Item::Close) | Err(RecvTimeoutError::Disconnected) => {
                return send_frames(stream, writer, shared, &[Frame::Goodbye]);
            }
            Err(RecvTimeoutError::Timeout) => {
                send_frames(stream, writer, shared, &[shared.beat.frame()])?;
            }
        }
    }
}

/// Rough size of a frame, to end a batch.
const fn size(frame: &Frame) -> usize {
    match frame {
        Frame::Agreement(_) | Frame::Settings(_) => WRITE_BYTES / 8,
        Frame::Request { body, .. } | Frame::Reply { body, .. } => body.len(),
        _ => 64,
    }
}

/// Writes frames with one call.
fn send_frames(
    mut stream: &TcpStream,
    writer: &mut FrameWriter,
    shared: &Shared,
    frames: &[Frame],
) -> Result<(), EndError> {
    let mut bytes = Vec::new();
    for frame in frames {
        match writer.write(frame) {
            Ok(frame_bytes) => {
                shared.traffic.frame_sent(frame.kind(), frame_bytes.len());
                bytes.extend(frame_bytes);
            }
            // The link itself goes on; the message counts as lost.
            Err(error) => warn!(%error, "a frame was not sent"),
        }
    }
    stream.write_all(&bytes)?;
    shared.traffic.written();
    Ok(())
}
