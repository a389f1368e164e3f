//! Links that peers and routers dial.

use std::time::Duration;

use bamboospur_http1::io::write_all;
use bamboospur_http1::socket;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::{info, warn};

use super::event::{Event, LinkId};
use crate::link::{Frame, FrameError, FrameReader, encode};
use crate::process::accept;

/// The side that dials says something every second.
const SILENCE: Duration = Duration::from_millis(3_500);
/// Time for the first frame.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Frames that wait for a link; when there are more, the link is closed and the
/// peer starts again from the present state.
const QUEUE_FRAMES: usize = 512;

/// Accepts links for ever.
pub async fn serve(listener: TcpListener, events: Sender<Event>) {
    let mut next_link: LinkId = 0;
    loop {
        let stream = accept(&listener, "links").await;
        next_link += 1;
        spawn_local(link(stream, next_link, events.clone()));
    }
}

async fn link(stream: TcpStream, link: LinkId, events: Sender<Event>) {
    let mut reader = FrameReader::default();
    let first = timeout(HELLO_TIMEOUT, reader.next(&stream)).await;
    let Ok(Ok(Frame::Hello(hello))) = first else {
        info!(link, "a link ended without a hello");
        return;
    };
    if let Err(error) = socket::tune(&stream, SILENCE) {
        warn!(%error, link, "a link could not be set up");
        return;
    }
    let (frames, mut receiver) = channel(QUEUE_FRAMES);
    let opened = Event::Opened {
        link,
        hello,
        frames,
    };
    if events.send(opened).await.is_err() {
        return;
    }
    if let Err(error) = exchange(&stream, &mut reader, link, &mut receiver, &events).await {
        info!(link, peer = hello.id, control = hello.address.is_some(), %error, "a link ended");
    }
    // The host has ended when nobody hears this.
    let _sent = events.send(Event::Ended { link }).await;
}

async fn exchange(
    stream: &TcpStream,
    reader: &mut FrameReader,
    link: LinkId,
    frames: &mut Receiver<Frame>,
    events: &Sender<Event>,
) -> Result<(), FrameError> {
    let timed_out = || FrameError::Io(std::io::ErrorKind::TimedOut.into());
    let mut silent_at = Instant::now() + SILENCE;
    loop {
        tokio::select! {
            frame = frames.recv() => {
                let Some(frame) = frame else {
                    return Ok(());
                };
                let bytes = encode(&frame).ok_or(FrameError::Malformed)?;
                let written = timeout(SILENCE, write_all(stream, &bytes, &mut 0)).await;
                written.map_err(|_| timed_out())??;
            }
            frame = reader.next(stream) => {
                silent_at = Instant::now() + SILENCE;
                let event = Event::Received { link, frame: frame? };
                if events.send(event).await.is_err() {
                    return Ok(());
                }
            }
            () = sleep_until(silent_at) => return Err(timed_out()),
        }
    }
}
