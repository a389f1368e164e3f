//! Dialling side of a link.

use std::net::SocketAddr;
use std::time::Duration;

use bamboospur_http1::io::write_all;
use bamboospur_http1::socket;
use bamboospur_types::{BufferBudget, Rng, stable_id};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::codec::{FrameError, FrameReader, encode};
use super::frame::{Frame, Hello};
use super::traffic;
use crate::process::{Essential, spawn_detached};

/// Time limit for a connection attempt. Links have a delay of a few ms, so an attempt
/// that takes longer does not succeed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a link ended or an attempt failed. The pause and [`CONNECT_TIMEOUT`]
/// bound the time until the link to a restarted peer is up again.
const REDIAL_PAUSE: Duration = Duration::from_millis(150);
/// Time without a connection after which an address is dialled less often: a control group that
/// is away for long is not flooded by the dials of a large fleet when it is back.
const LONG_OUTAGE: Duration = Duration::from_secs(10);
/// Shortest pause between two attempts in a long outage; a random time up to as long is added.
const LONG_OUTAGE_PAUSE: Duration = Duration::from_millis(600);
/// A link without a frame from the peer for this time is replaced.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Frames that can wait for a link. Further ones are dropped, and the protocols above
/// send them again.
const MAX_QUEUED_FRAMES: usize = 256;

/// Event on a dialled link.
#[derive(Debug)]
pub enum DialEvent {
    /// The link is up.
    Up(SocketAddr),
    /// The link is down, for this reason.
    Down(SocketAddr, FrameError),
    /// A frame arrived.
    Frame(SocketAddr, Frame),
}

/// Handle of a dialled link. Dropping it ends the link.
#[derive(Clone, Debug)]
pub struct DialedLink {
    frames: Sender<Frame>,
}

impl DialedLink {
    /// Queues a frame; returns `false` when the queue is full and the frame is dropped.
    #[must_use]
    pub fn send(&self, frame: Frame) -> bool {
        self.frames.try_send(frame).is_ok()
    }
}

/// Keeps a link to an address, dialling again after failures, until the handle is
/// dropped.
///
/// Frames are buffered within `buffers`; `convert` turns link events into events of the receiver.
pub fn dial<E: 'static>(
    address: SocketAddr,
    hello: Hello,
    buffers: &BufferBudget,
    events: Sender<E>,
    convert: fn(DialEvent) -> E,
) -> DialedLink {
    let buffers = buffers.clone();
    let (frames, receiver) = channel(MAX_QUEUED_FRAMES);
    spawn_detached(async move {
        // A link whose task has panicked would never be dialled again.
        let guard = Essential::new("dialled link");
        keep_link(address, hello, buffers, receiver, events, convert).await;
        guard.release();
    });
    DialedLink { frames }
}

/// Keeps a link until its handle or the receiver of events is dropped.
async fn keep_link<E: 'static>(
    address: SocketAddr,
    hello: Hello,
    buffers: BufferBudget,
    mut receiver: Receiver<Frame>,
    events: Sender<E>,
    convert: fn(DialEvent) -> E,
) {
    let mut rng = Rng::new(hello.id ^ stable_id(&address.to_string()));
    let mut long_outage_at = Instant::now() + LONG_OUTAGE;
    while !receiver.is_closed() {
        if let Some(stream) = connect(address).await {
            while receiver.try_recv().is_ok() {}
            if events.send(convert(DialEvent::Up(address))).await.is_err() {
                return;
            }
            let link = Link {
                address,
                stream: &stream,
                buffers: &buffers,
                events: &events,
                convert,
            };
            let Err(error) = link.run(hello.clone(), &mut receiver).await else {
                return;
            };
            if events
                .send(convert(DialEvent::Down(address, error)))
                .await
                .is_err()
            {
                return;
            }
            long_outage_at = Instant::now() + LONG_OUTAGE;
        }
        let pause = if Instant::now() < long_outage_at {
            REDIAL_PAUSE
        } else {
            LONG_OUTAGE_PAUSE + rng.duration_up_to(LONG_OUTAGE_PAUSE)
        };
        sleep(pause).await;
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    socket::set_socket_options(&stream, SILENCE_TIMEOUT).ok()?;
    Some(stream)
}

struct Link<'a, E> {
    address: SocketAddr,
    stream: &'a TcpStream,
    buffers: &'a BufferBudget,
    events: &'a Sender<E>,
    convert: fn(DialEvent) -> E,
}

impl<E> Link<'_, E> {
    /// Exchanges frames until the link fails. Returns without an error when the handle
    /// or the receiver of events was dropped.
    async fn run(&self, hello: Hello, frames: &mut Receiver<Frame>) -> Result<(), FrameError> {
        let mut reader = FrameReader::new(self.buffers);
        self.write(&Frame::Hello(hello)).await?;
        let mut silent_at = Instant::now() + SILENCE_TIMEOUT;
        loop {
            tokio::select! {
                frame = frames.recv() => match frame {
                    Some(frame) => self.write(&frame).await?,
                    None => return Ok(()),
                },
                frame = reader.next(self.stream) => {
                    silent_at = Instant::now() + SILENCE_TIMEOUT;
                    let event = (self.convert)(DialEvent::Frame(self.address, frame?));
                    if self.events.send(event).await.is_err() {
                        return Ok(());
                    }
                }
                () = sleep_until(silent_at) => {
                    return Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into());
                }
            }
        }
    }

    async fn write(&self, frame: &Frame) -> Result<(), FrameError> {
        let Some(bytes) = encode(frame) else {
            return Err(FrameError::Malformed);
        };
        traffic::record_queued(frame, bytes.len());
        let written = timeout(SILENCE_TIMEOUT, write_all(self.stream, &bytes, &mut 0)).await;
        traffic::record_written(bytes.len());
        let timed_out = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
        Ok(written.map_err(timed_out).flatten()?)
    }
}
