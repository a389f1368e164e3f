//! Log line of a request.

use std::time::Duration;

use bamboospur_dispatch::{ChosenTarget, PromptPart};
use bamboospur_http1::server::Request;
use bamboospur_platform::names;
use bamboospur_types::{RequestRate, ResultCode};
use tracing::info;

use super::attempt::AttemptEnd;
use super::attempt_history::Execution;

/// Data of a request for its log line.
#[derive(Debug)]
pub struct Trace {
    id: String,
    pub route: String,
    pub team: String,
    pub version: u64,
    pub lease_age_ms: Option<u64>,
    /// Id of the request whose stream this one resumes; empty without one.
    pub resumes: String,
    pub last_event_id: Option<u64>,
    attempts: Vec<String>,
    /// Parts of the prompt, if an answer broke off; otherwise empty.
    prompt: String,
    pub detail: String,
    /// Whether a target may have run the request, the attempt in progress included.
    pub execution: Execution,
}

impl Trace {
    pub fn new(request: &Request) -> Self {
        let id = request
            .head
            .headers
            .get(names::REQUEST_ID)
            .unwrap_or_default();
        Self {
            id: id.to_owned(),
            route: String::new(),
            team: String::new(),
            version: 0,
            lease_age_ms: None,
            resumes: String::new(),
            last_event_id: None,
            attempts: Vec::new(),
            prompt: String::new(),
            detail: String::new(),
            execution: Execution::NotRun,
        }
    }

    /// Adds an attempt to the log line.
    pub fn record_attempt(
        &mut self,
        choice: &ChosenTarget,
        end: &AttemptEnd,
        limit: Option<RequestRate>,
        prompt: &[PromptPart],
    ) {
        let ChosenTarget {
            name,
            software,
            rank,
            load,
            bound,
            is_cached,
            copy_from,
            prefix_hash,
            ..
        } = choice;
        let copied = copy_from.is_some();
        let text = format!(
            "{name} software={software} rank={rank} load={load:.1} bound={bound:.1} \
             cached={is_cached} copied={copied} prefix={prefix_hash:016x} {end}"
        );
        let answering = match end {
            AttemptEnd::BrokenOff {
                answering_for: Some(time),
            } => format!(" answering_ms={}", time.as_millis()),
            _ => String::new(),
        };
        let limit = limit.map_or_else(String::new, |limit| format!(" limit={limit}"));
        self.attempts.push(text + &answering + &limit);
        if matches!(
            end,
            AttemptEnd::BrokenOff { .. } | AttemptEnd::KeptConnectionEnded { sent: true }
        ) {
            let parts = prompt.iter().map(|part| format!("{:x}", part.hash));
            self.prompt = parts.collect::<Vec<_>>().join(",");
        }
    }

    /// Logs the end of the request.
    pub fn log(&self, code: ResultCode, took: Duration) {
        info!(
            id = self.id,
            route = self.route,
            team = self.team,
            config_version = self.version,
            lease_age_ms = self.lease_age_ms,
            resumes = self.resumes,
            last_event_id = self.last_event_id,
            attempts = ?self.attempts,
            prompt = self.prompt,
            detail = self.detail,
            result = %code,
            number = code.number(),
            took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
            "request ended"
        );
    }
}
