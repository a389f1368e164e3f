//! Measures the rate and the latency of granted claims.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_agreement::Ticket;
use bamboospur_claims::{Attempt, ClaimResponse};
use bamboospur_control::{
    ClaimCommand, Command, Reply, Request, Response, claim_key, decode_request, decode_response,
    encode_request, encode_response,
};
use bamboospur_types::time_from_s;

use super::commits::Load;
use super::members::MemberGroup;

/// Granted claims after which a run ends. The table holds 500,000 claims, and a
/// full table refuses claims.
const MAX_CLAIM_COUNT: usize = 400_000;
/// Time for answers to arrive after the measurement.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug)]
pub struct ClaimStats {
    pub claims_per_s: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
    pub failed: usize,
    /// Encoded size of the last request, or of an answer after it that is larger;
    /// without the frame.
    pub message_bytes: usize,
}

struct ClaimClients {
    group: MemberGroup,
    pending: BTreeMap<Ticket, Instant>,
    last_ticket: Ticket,
    latencies_ms: Vec<f64>,
    failed: usize,
    message_bytes: usize,
}

/// Sends claims with different keys to a group of three members. Requests and
/// answers are encoded and decoded as on a link.
pub fn measure_claims(
    load: Load,
    duration: Duration,
    added_sync: Duration,
) -> Result<ClaimStats, String> {
    let publish = (0..3).map(|_| Box::new(|_: &_| ()) as _).collect();
    let mut clients = ClaimClients {
        group: MemberGroup::start(publish, added_sync)?,
        pending: BTreeMap::new(),
        last_ticket: 0,
        latencies_ms: Vec::new(),
        failed: 0,
        message_bytes: 0,
    };
    let began = Instant::now();
    clients.run(load, began + duration)?;
    let seconds = began.elapsed().as_secs_f64();
    clients.drain()?;
    Ok(clients.into_stats(seconds))
}

impl ClaimClients {
    fn send_claim(&mut self) -> Result<(), String> {
        self.last_ticket += 1;
        let number = self.last_ticket;
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
        self.message_bytes = bytes.len();
        let request = decode_request(&bytes).map_err(|error| error.to_string())?;
        self.group.request(number, request);
        self.pending.insert(number, began);
        Ok(())
    }

    /// Waits for one answer for at most `wait`.
    fn receive_answer(&mut self, wait: Duration) -> Result<(), String> {
        let Ok(reply) = self.group.replies.recv_timeout(wait) else {
            return Ok(());
        };
        let bytes = encode_response(&reply.answer).map_err(|error| error.to_string())?;
        self.message_bytes = self.message_bytes.max(bytes.len());
        let answer = decode_response(&bytes).map_err(|error| error.to_string())?;
        let began = self.pending.remove(&reply.ticket);
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
        while Instant::now() < end && self.latencies_ms.len() < MAX_CLAIM_COUNT {
            match load {
                Load::Concurrent(count) => {
                    while self.pending.len() < count {
                        self.send_claim()?;
                    }
                    self.receive_answer(Duration::from_millis(10))?;
                }
                Load::Rate(rate) => {
                    let sent = u32::try_from(self.last_ticket).unwrap_or(u32::MAX);
                    let due = began + time_from_s(f64::from(sent) / rate).unwrap_or_default();
                    let wait = due.saturating_duration_since(Instant::now());
                    if wait.is_zero() {
                        self.send_claim()?;
                    } else {
                        self.receive_answer(wait)?;
                    }
                }
            }
        }
        Ok(())
    }

    /// Waits for the remaining answers; those still missing count as failed.
    fn drain(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while !self.pending.is_empty() && Instant::now() < deadline {
            self.receive_answer(Duration::from_millis(10))?;
        }
        self.failed += self.pending.len();
        Ok(())
    }

    fn into_stats(mut self, seconds: f64) -> ClaimStats {
        self.latencies_ms.sort_by(f64::total_cmp);
        let count = self.latencies_ms.len();
        let percentile_ms = |percent: usize| {
            let index = (count * percent / 100).min(count.saturating_sub(1));
            let found = self.latencies_ms.get(index).copied();
            found.unwrap_or(f64::INFINITY)
        };
        ClaimStats {
            claims_per_s: u32::try_from(count).map_or(f64::INFINITY, f64::from) / seconds,
            p50_ms: percentile_ms(50),
            p99_ms: percentile_ms(99),
            max_ms: percentile_ms(100),
            failed: self.failed,
            message_bytes: self.message_bytes,
        }
    }
}
