//! HTTP client that tries several servers in turn.

use std::thread;
use std::time::{Duration, Instant};

use bamboospur_control::operator::ResponseMeta;
use bamboospur_types::ResultCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::http::Response;

use crate::error::CtlError;
use crate::options::Options;
use crate::secret::{Token, token};

/// Pause after all servers were tried.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest time for one server, so that a silent one does not use all the time.
const ATTEMPT: Duration = Duration::from_secs(3);
/// Largest answer: an export of 11,000 teams has about 10 MB.
const ANSWER_BYTES: u64 = 256 * 1024 * 1024;

/// Client of the operators' API.
#[derive(Debug)]
pub struct Client {
    agent: Agent,
    servers: Vec<String>,
    token: Token,
    timeout: Duration,
}

/// Answer of a server: its head and its whole text.
#[derive(Debug)]
pub struct Answered {
    /// Result.
    pub head: ResponseMeta,
    text: String,
}

impl Answered {
    /// Reads the answer of a certain kind.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, CtlError> {
        serde_json::from_str(&self.text).map_err(|error| CtlError::Answer(error.to_string()))
    }

    /// Reads the answer of a certain kind, or returns the refusal.
    pub fn success<T: DeserializeOwned>(self) -> Result<T, CtlError> {
        if self.head.result != ResultCode::Ok {
            return Err(CtlError::Refused(Box::new(self.head)));
        }
        self.read()
    }
}

enum Attempt {
    Answered(Answered),
    /// The request was not done; another server may do it.
    NotDone(String),
    /// The request may have been done.
    Lost(String),
}

impl Client {
    /// Makes a client; reads the token.
    pub fn new(options: &Options) -> Result<Self, CtlError> {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .timeout_global(Some(ATTEMPT.min(options.timeout)))
            .build();
        let servers = options.servers.iter().map(|server| base_url(server));
        Ok(Self {
            agent: Agent::new_with_config(config),
            servers: servers.collect(),
            token: token(options.token_file.as_deref())?,
            timeout: options.timeout,
        })
    }

    /// Asks the first server that answers.
    pub fn get(&self, path: &str, query: &[(&str, &str)]) -> Result<Answered, CtlError> {
        let pairs = query.iter();
        let pairs = pairs.map(|(name, value)| format!("{name}={}", encoded(value)));
        let query: Vec<String> = pairs.collect();
        let target = if query.is_empty() {
            path.to_owned()
        } else {
            format!("{path}?{}", query.join("&"))
        };
        let (last, _) = match self.until_answered(|server| self.get_once(server, &target)) {
            Ok(answered) => return Ok(answered),
            Err(failure) => failure,
        };
        Err(CtlError::Unreachable(format!("no server answered: {last}")))
    }

    /// Sends a change until a server answers. The body carries the change id,
    /// so that the change is made once at most.
    pub fn change(
        &self,
        path: &str,
        change_id: &str,
        body: &impl Serialize,
    ) -> Result<Answered, CtlError> {
        let body = json_text(body)?;
        let sent = self.until_answered(|server| self.post_once(server, path, &body));
        sent.map_err(|(last, may_be_done)| {
            if !may_be_done {
                return CtlError::Unreachable(format!("the change was not made: {last}"));
            }
            let change_id = change_id.to_owned();
            CtlError::Doubt { change_id, last }
        })
    }

    /// Sends a request that has the same effect when it is sent again.
    pub fn post(&self, path: &str, body: &impl Serialize) -> Result<Answered, CtlError> {
        let body = json_text(body)?;
        let sent = self.until_answered(|server| self.post_once(server, path, &body));
        sent.map_err(|(last, _)| CtlError::Unreachable(format!("no server answered: {last}")))
    }

    /// Tries the servers in turn. On failure returns the last reason, and
    /// whether any attempt may have been done.
    fn until_answered(
        &self,
        attempt: impl Fn(&str) -> Attempt,
    ) -> Result<Answered, (String, bool)> {
        let deadline = Instant::now() + self.timeout;
        let mut may_be_done = false;
        loop {
            for server in &self.servers {
                let reason = match attempt(server) {
                    Attempt::Answered(answered) => return Ok(answered),
                    Attempt::NotDone(reason) => format!("{server}: {reason}"),
                    Attempt::Lost(reason) => {
                        may_be_done = true;
                        format!("{server}: {reason}")
                    }
                };
                if Instant::now() >= deadline {
                    return Err((reason, may_be_done));
                }
            }
            thread::sleep(PAUSE);
        }
    }

    fn get_once(&self, server: &str, target: &str) -> Attempt {
        let request = self.agent.get(format!("{server}{target}"));
        let request = request.header("Authorization", self.token.header());
        attempt(request.call())
    }

    fn post_once(&self, server: &str, path: &str, body: &str) -> Attempt {
        let request = self.agent.post(format!("{server}{path}"));
        let request = request.header("Authorization", self.token.header());
        let request = request.header("Content-Type", "application/json");
        attempt(request.send(body))
    }
}

fn attempt(sent: Result<Response<ureq::Body>, ureq::Error>) -> Attempt {
    let mut response = match sent {
        Ok(response) => response,
        Err(error @ (ureq::Error::ConnectionFailed | ureq::Error::HostNotFound)) => {
            return Attempt::NotDone(error.to_string());
        }
        Err(ureq::Error::Io(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Attempt::NotDone(error.to_string());
        }
        Err(error) => return Attempt::Lost(error.to_string()),
    };
    let body = response.body_mut().with_config().limit(ANSWER_BYTES);
    let text = match body.read_to_string() {
        Ok(text) => text,
        Err(error) => return Attempt::Lost(error.to_string()),
    };
    let Ok(head) = serde_json::from_str::<ResponseMeta>(&text) else {
        let status = response.status();
        return Attempt::Lost(format!("status {status} without a result code"));
    };
    let message = head.message.clone().unwrap_or_default();
    match head.result {
        ResultCode::NoLeader | ResultCode::NoQuorum | ResultCode::ShuttingDown => {
            Attempt::NotDone(message)
        }
        ResultCode::DeadlineExceeded | ResultCode::Internal => Attempt::Lost(message),
        _ => Attempt::Answered(Answered { head, text }),
    }
}

fn json_text(body: &impl Serialize) -> Result<String, CtlError> {
    serde_json::to_string(body).map_err(|error| CtlError::Usage(error.to_string()))
}

fn base_url(server: &str) -> String {
    let server = server.trim_end_matches('/');
    if server.contains("://") {
        return server.to_owned();
    }
    format!("http://{server}")
}

/// Percent-encodes a value of a query.
fn encoded(text: &str) -> String {
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
