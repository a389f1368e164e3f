//! HTTP client for the operators' API that tries several servers in turn.

use std::thread;
use std::time::{Duration, Instant};

use bamboospur_control::operator::ResponseMeta;
use bamboospur_types::{ResponseStatus, ResultCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::http::Response;

use crate::error::CtlError;
use crate::options::Options;
use crate::secret::{Token, read_token};

/// Time before the servers are tried again when all have failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit for one server, so that a server that does not respond leaves time for the
/// others.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Size limit of an answer. An export of 11,000 teams has about 10 MB.
const MAX_RESPONSE_BYTES: u64 = 256 * 1024 * 1024;

#[derive(Debug)]
pub struct Client {
    agent: Agent,
    servers: Vec<String>,
    token: Token,
    timeout: Duration,
}

/// Answer of a server that has a result code.
#[derive(Debug)]
pub struct ApiResponse {
    pub head: ResponseMeta,
    /// Whole body, from which `head` was parsed.
    text: String,
}

impl ApiResponse {
    /// Parses the body as a `T`, whatever the result code is.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, CtlError> {
        serde_json::from_str(&self.text)
            .map_err(|error| CtlError::InvalidResponse(error.to_string()))
    }

    /// Parses the body as a `T`, or returns an error if the result code is not `Ok`.
    pub fn parse_success<T: DeserializeOwned>(self) -> Result<T, CtlError> {
        if self.head.result != ResultCode::Ok {
            return Err(CtlError::Refused(Box::new(self.head)));
        }
        self.parse()
    }
}

enum AttemptResult {
    Answered(ApiResponse),
    /// The server did not execute the request; another server may do so.
    NotExecuted(String),
    /// The server may have executed the request.
    OutcomeUnknown(String),
}

impl Client {
    /// Creates a client with the token that the options name.
    pub fn new(options: &Options) -> Result<Self, CtlError> {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .timeout_global(Some(ATTEMPT_TIMEOUT.min(options.timeout)))
            .build();
        let servers = options.servers.iter().map(|server| base_url(server));
        Ok(Self {
            agent: Agent::new_with_config(config),
            servers: servers.collect(),
            token: read_token(options.token_file.as_deref())?,
            timeout: options.timeout,
        })
    }

    /// Sends a GET request until a server answers.
    pub fn get(&self, path: &str, query: &[(&str, &str)]) -> Result<ApiResponse, CtlError> {
        let pairs = query.iter();
        let pairs = pairs.map(|(name, value)| format!("{name}={}", percent_encode(value)));
        let query: Vec<String> = pairs.collect();
        let target = if query.is_empty() {
            path.to_owned()
        } else {
            format!("{path}?{}", query.join("&"))
        };
        let (last_error, _) = match self.try_servers(|server| self.get_once(server, &target)) {
            Ok(answered) => return Ok(answered),
            Err(failure) => failure,
        };
        Err(CtlError::Unreachable(format!(
            "no server answered: {last_error}"
        )))
    }

    /// Sends a change until a server answers. The body must carry the change id, by which
    /// the servers make the change at most once.
    pub fn change(
        &self,
        path: &str,
        change_id: &str,
        body: &impl Serialize,
    ) -> Result<ApiResponse, CtlError> {
        let body = to_json(body)?;
        let sent = self.try_servers(|server| self.post_once(server, path, &body));
        sent.map_err(|(last_error, may_have_run)| {
            if !may_have_run {
                return CtlError::Unreachable(format!("the change was not made: {last_error}"));
            }
            let change_id = change_id.to_owned();
            CtlError::OutcomeUnknown {
                change_id,
                last_error,
            }
        })
    }

    /// Sends an idempotent POST request until a server answers.
    pub fn post(&self, path: &str, body: &impl Serialize) -> Result<ApiResponse, CtlError> {
        let body = to_json(body)?;
        let sent = self.try_servers(|server| self.post_once(server, path, &body));
        sent.map_err(|(last_error, _)| {
            CtlError::Unreachable(format!("no server answered: {last_error}"))
        })
    }

    /// Tries the servers in turn until one answers or the time limit has passed. On failure
    /// returns the last error, and whether a server may have executed the request.
    fn try_servers(
        &self,
        attempt: impl Fn(&str) -> AttemptResult,
    ) -> Result<ApiResponse, (String, bool)> {
        let deadline = Instant::now() + self.timeout;
        let mut may_have_run = false;
        loop {
            for server in &self.servers {
                let reason = match attempt(server) {
                    AttemptResult::Answered(answered) => return Ok(answered),
                    AttemptResult::NotExecuted(reason) => format!("{server}: {reason}"),
                    AttemptResult::OutcomeUnknown(reason) => {
                        may_have_run = true;
                        format!("{server}: {reason}")
                    }
                };
                if Instant::now() >= deadline {
                    return Err((reason, may_have_run));
                }
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }

    fn get_once(&self, server: &str, target: &str) -> AttemptResult {
        let request = self.agent.get(format!("{server}{target}"));
        let request = request.header("Authorization", self.token.authorization());
        classify_attempt(request.call())
    }

    fn post_once(&self, server: &str, path: &str, body: &str) -> AttemptResult {
        let request = self.agent.post(format!("{server}{path}"));
        let request = request.header("Authorization", self.token.authorization());
        let request = request.header("Content-Type", "application/json");
        classify_attempt(request.send(body))
    }
}

fn classify_attempt(sent: Result<Response<ureq::Body>, ureq::Error>) -> AttemptResult {
    let mut response = match sent {
        Ok(response) => response,
        Err(error @ (ureq::Error::ConnectionFailed | ureq::Error::HostNotFound)) => {
            return AttemptResult::NotExecuted(error.to_string());
        }
        Err(ureq::Error::Io(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return AttemptResult::NotExecuted(error.to_string());
        }
        Err(error) => return AttemptResult::OutcomeUnknown(error.to_string()),
    };
    let status = response.status();
    if ResponseStatus::from(status.as_u16()) != ResponseStatus::Final {
        return AttemptResult::OutcomeUnknown(format!("status {status}, which no answer has"));
    }
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
    let text = match body.read_to_string() {
        Ok(text) => text,
        Err(error) => return AttemptResult::OutcomeUnknown(error.to_string()),
    };
    let Ok(head) = serde_json::from_str::<ResponseMeta>(&text) else {
        return AttemptResult::OutcomeUnknown(format!("status {status} without a result code"));
    };
    let message = head.message.clone().unwrap_or_default();
    match head.result {
        ResultCode::NoLeader | ResultCode::NoQuorum | ResultCode::ShuttingDown => {
            AttemptResult::NotExecuted(message)
        }
        ResultCode::DeadlineExceeded | ResultCode::Internal => {
            AttemptResult::OutcomeUnknown(message)
        }
        _ => AttemptResult::Answered(ApiResponse { head, text }),
    }
}

fn to_json(body: &impl Serialize) -> Result<String, CtlError> {
    serde_json::to_string(body).map_err(|error| CtlError::Usage(error.to_string()))
}

fn base_url(server: &str) -> String {
    let server = server.trim_end_matches('/');
    if server.contains("://") {
        return server.to_owned();
    }
    format!("http://{server}")
}

/// Percent-encodes the value of a query parameter.
fn percent_encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => {
                encoded.push(char::from(byte));
            }
            _ => encoded.extend(format!("%{byte:02X}").chars()),
        }
    }
    encoded
}
