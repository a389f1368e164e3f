//! Replicas of services: sound ones, which report that they are alive, stream events or answer
//! plain requests, and record what they run.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::deployment::{ZONES, shown};
use crate::http::{Channel, Head, call};
use crate::note;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Idle channels are closed after this time; told in `Keep-Alive`.
const IDLE: Duration = Duration::from_secs(20);

/// What a replica does with a request.
#[derive(Clone, Copy)]
pub enum Work {
    /// Streams this many events, one after each pause, or those after `Last-Event-Id`.
    Stream { events: u64, pause: Duration },
    /// Answers after this time.
    Plain { time: Duration },
}

/// Description of a replica.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    /// Version of the software; the text of a stream differs between versions.
    pub version: String,
    pub address: SocketAddr,
    zone: &'static str,
    born: u128,
    work: Work,
    /// Requests that are being run or have been run.
    pub runs: Arc<AtomicUsize>,
}

impl Replica {
    /// Starts a replica and its reports.
    pub fn start(
        host: Ipv4Addr,
        (id, service, version): (&str, &str, &str),
        work: Work,
        controls: Vec<SocketAddr>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((host, 0))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let replica = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            address: listener.local_addr()?,
            zone: ZONES[usize::from(host.octets()[3]) % 3],
            born: born.map_or(0, |born| born.as_millis()),
            work,
            runs: Arc::default(),
        };
        let served = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        let reporting = replica.clone();
        thread::spawn(move || reporting.report(&controls));
        Ok(replica)
    }

    /// Reports until the process ends.
    fn report(&self, controls: &[SocketAddr]) {
        let mut next = usize::from(self.address.port());
        let mut named: Option<SocketAddr> = None;
        for seq in 1_u64.. {
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
                 \"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{}}}",
                self.service, self.address, self.zone, self.version, self.born
            );
            let path = format!("/replicas/{}", self.id);
            for _ in 0..=controls.len() {
                let to = named.unwrap_or(controls[next % controls.len()]);
                let answer = call(to, "PUT", &path, &body, Duration::from_secs(1));
                if seq == 1 || !matches!(answer, Ok((200, _))) {
                    note!(
                        "replica {}: report {seq} to {to}: {}",
                        self.id,
                        shown(&answer)
                    );
                }
                if let Ok((200, text)) = answer {
                    let text = text.split_once("\"heartbeatAddr\":\"");
                    let address = text.and_then(|(_, rest)| rest.split_once('"'));
                    named = address
                        .and_then(|(address, _)| address.parse().ok())
                        .or(named);
                    break;
                }
                named = None;
                next += 1;
            }
            sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut channel = Channel::new(stream);
        while let Ok(head) = channel.head(Instant::now() + IDLE) {
            let Ok(body) = channel.body(&head, Instant::now() + IDLE) else {
                return;
            };
            if self.answer(&mut channel, &head, body.len()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, channel: &mut Channel, head: &Head, body_bytes: usize) -> io::Result<()> {
        if head.first_line.starts_with("GET /healthz ") {
            let id = &self.id;
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Bamboospur-Replica-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            return channel.send(text.as_bytes());
        }
        let request = head
            .field("x-bamboospur-request-id")
            .unwrap_or("-")
            .to_owned();
        let common = format!(
            "X-Bamboospur-Request-Id: {request}\r\nKeep-Alive: timeout={}\r\n",
            IDLE.as_secs()
        );
        let expected = head.field("x-bamboospur-expect-replica");
        if expected.is_some_and(|expected| expected != self.id) {
            note!("replica {}: 421 to request {request}", self.id);
            let text =
                format!("HTTP/1.1 421 Misdirected Request\r\n{common}Content-Length: 0\r\n\r\n");
            return channel.send(text.as_bytes());
        }
        self.runs.fetch_add(1, Ordering::SeqCst);
        let last = head.field("last-event-id").map(str::to_owned);
        note!(
            "replica {} ({} {}): runs request {request}, Last-Event-Id {}, body of {body_bytes} bytes",
            self.id,
            self.service,
            self.version,
            last.as_deref().unwrap_or("-")
        );
        let common = format!(
            "HTTP/1.1 200 OK\r\n{common}X-Bamboospur-Replica-Stamp: {}.{request}\r\n\
             X-Bamboospur-Weight-Versions: 1\r\nX-Bamboospur-Replica-Load: 1,0,64\r\n",
            self.id
        );
        let end = match self.work {
            Work::Plain { time } => {
                sleep(time);
                channel.send(format!("{common}Content-Length: 2\r\n\r\nok").as_bytes())
            }
            Work::Stream { events, pause } => {
                let first = last.and_then(|last| last.parse::<u64>().ok()).unwrap_or(0) + 1;
                self.stream(channel, &common, first..=events, pause)
            }
        };
        match &end {
            Ok(()) => note!("replica {}: has answered request {request}", self.id),
            Err(error) => note!("replica {}: request {request} ends: {error}", self.id),
        }
        end
    }

    fn stream(
        &self,
        channel: &mut Channel,
        common: &str,
        events: std::ops::RangeInclusive<u64>,
        pause: Duration,
    ) -> io::Result<()> {
        let kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        channel.send(format!("{common}{kind}").as_bytes())?;
        for event in events {
            let text = format!(
                "id: {event}\ndata: {} {} word {event}\n\n",
                self.service, self.version
            );
            channel.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            sleep(pause);
        }
        channel.send(b"0\r\n\r\n")
    }
}

/// Results that threads of consumers collect.
pub type Shared<T> = Arc<Mutex<Vec<T>>>;
