//! Claims granted in a second.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_agreement::Ticket;
use bamboospur_claims::{Attempt, ClaimResponse};
use bamboospur_control::{
    ClaimCommand, Command, Reply, Request, Response, claim_key, decode_request, decode_response,
    encode_request, encode_response,
};

use super::commits::Load;
use super::members::MemberGroup;

/// The table holds 500,000 claims; a run that fills it measures refusals.
const MOST_CLAIMS: usize = 400_000;
const DRAIN: Duration = Duration::from_secs(5);

/// Result of a measurement.
#[derive(Debug)]
pub struct ClaimTally {
    pub claims_per_s: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
    pub failed: usize,
    /// Bytes of one request and one answer before the frame.
    pub bytes: usize,
}

struct Clients {
    group: MemberGroup,
    waiting: BTreeMap<Ticket, Instant>,
    next: Ticket,
    latencies_ms: Vec<f64>,
    failed: usize,
    bytes: usize,
}

/// Takes claims of different keys through three members. Requests and answers
/// are encoded and decoded as on a link.
pub fn measure_claims(
    load: Load,
    duration: Duration,
    added_sync: Duration,
) -> Result<ClaimTally, String> {
    let publish = (0..3).map(|_| Box::new(|_: &_| ()) as _).collect();
    let mut clients = Clients {
        group: MemberGroup::start(publish, added_sync)?,
        waiting: BTreeMap::new(),
        next: 0,
        latencies_ms: Vec::new(),
        failed: 0,
        bytes: 0,
    };
    let began = Instant::now();
    clients.run(load, began + duration)?;
    let seconds = began.elapsed().as_secs_f64();
    clients.drain()?;
    Ok(clients.tally(seconds))
}

impl Clients {
    fn claim(&mut self) -> Result<(), String> {
        self.next += 1;
        let number = self.next;
        let team = format!("team-{:05}", number % 11_000);
        let claim = ClaimCommand {
            key: claim_key(&team, &number.to_string()),
            fingerprint: number,
            attempt: Attempt {
                instance: number % 420,
                number,
            },
            run_timeout: Duration::from_mins(1),
        };
        let began = Instant::now();
        let request = Request::Command(Command::Claims(vec![claim]));
        let bytes = encode_request(&request).map_err(|error| error.to_string())?;
        self.bytes = bytes.len();
        let request = decode_request(&bytes).map_err(|error| error.to_string())?;
        self.group.request(number, request);
        self.waiting.insert(number, began);
        Ok(())
    }

    fn take(&mut self, wait: Duration) -> Result<(), String> {
        let Ok(reply) = self.group.replies.recv_timeout(wait) else {
            return Ok(());
        };
        let bytes = encode_response(&reply.answer).map_err(|error| error.to_string())?;
        self.bytes = self.bytes.max(bytes.len());
        let answer = decode_response(&bytes).map_err(|error| error.to_string())?;
        let began = self.waiting.remove(&reply.ticket);
        let granted = match &answer {
            Ok(Response::Applied(Reply::Claims(claims))) => claims == &[ClaimResponse::Granted],
            _ => false,
        };
        match began {
            Some(began) if granted => {
                self.latencies_ms
                    .push(began.elapsed().as_secs_f64() * 1000.0);
            }
            _ => self.failed += 1,
        }
        Ok(())
    }

    fn run(&mut self, load: Load, end: Instant) -> Result<(), String> {
        let began = Instant::now();
        while Instant::now() < end && self.latencies_ms.len() < MOST_CLAIMS {
            match load {
                Load::Concurrent(count) => {
                    while self.waiting.len() < count {
                        self.claim()?;
                    }
                    self.take(Duration::from_millis(10))?;
                }
                Load::Rate(rate) => {
                    let sent = u32::try_from(self.next).unwrap_or(u32::MAX);
                    let due = began + Duration::from_secs_f64(f64::from(sent) / rate);
                    let wait = due.saturating_duration_since(Instant::now());
                    if wait.is_zero() {
                        self.claim()?;
                    } else {
                        self.take(wait)?;
                    }
                }
            }
        }
        Ok(())
    }

    fn drain(&mut self) -> Result<(), String> {
        let until = Instant::now() + DRAIN;
        while !self.waiting.is_empty() && Instant::now() < until {
            self.take(Duration::from_millis(10))?;
        }
        self.failed += self.waiting.len();
        Ok(())
    }

    fn tally(mut self, seconds: f64) -> ClaimTally {
        self.latencies_ms.sort_by(f64::total_cmp);
        let count = self.latencies_ms.len();
        let at = |percent: usize| {
            let index = (count * percent / 100).min(count.saturating_sub(1));
            let found = self.latencies_ms.get(index).copied();
            found.unwrap_or(f64::INFINITY)
        };
        ClaimTally {
            claims_per_s: u32::try_from(count).map_or(f64::INFINITY, f64::from) / seconds,
            p50_ms: at(50),
            p99_ms: at(99),
            max_ms: at(100),
            failed: self.failed,
            bytes: self.bytes,
        }
    }
}
