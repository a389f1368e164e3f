//! HTTP client for targets, with a connection pool.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use ureq::http::{Request, Response};
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::NextTimeout;
use ureq::{Agent, Body, Error, RequestExt};

use bamboospur_types::BufferBudget;

use crate::answer::Answer;
use crate::call::Call;
use crate::current;
use crate::failure::{Failure, FailureKind};
use crate::state::{CallState, CancelHandle};
use crate::transport::TargetConnector;

/// Timeouts, pool sizes and buffer size of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time that a pooled connection stays idle before it is closed.
    pub max_idle: Duration,
    /// Most idle connections in the pool.
    pub idle_connections: usize,
    /// Most idle connections in the pool for each target.
    pub idle_per_target: usize,
    /// Size of the read buffer and of the write buffer of a connection; also the
    /// largest response head.
    pub buffer_bytes: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            // Shorter than the 5 s after which a dead network path is detected.
            max_idle: Duration::from_secs(4),
            idle_connections: 512,
            idle_per_target: 32,
            // With larger buffers, 2,000 streams would take more than 32 MB for reads.
            buffer_bytes: 16 * 1024,
        }
    }
}

/// HTTP client for targets; clones share the connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    pooled: Agent,
    fresh: Agent,
    budget: BufferBudget,
}

impl Client {
    /// Creates a client with an empty pool, which buffers answers within `budget`.
    #[must_use]
    pub fn new(settings: &ClientSettings, budget: BufferBudget) -> Self {
        Self {
            pooled: build_agent(settings, settings.idle_connections),
            fresh: build_agent(settings, 0),
            budget,
        }
    }

    /// Sends a request once and returns when the response head has arrived.
    ///
    /// # Errors
    ///
    /// Fails when the call cannot be sent, gets no valid response head, times out or is
    /// cancelled. The failure tells whether any byte was sent.
    pub fn send(&self, call: &Call, cancel: &CancelHandle) -> Result<Answer, Failure> {
        let state = Arc::new(CallState::new(call, cancel));
        if cancel.is_cancelled() {
            let detail = "the call was cancelled before it was sent".to_owned();
            return Err(state.failure(FailureKind::Cancelled, detail));
        }
        let result = current::with_call(&state, || self.run(call));
        match result {
            Ok(response) => {
                state.record_head();
                let accepted = Answer::accept(call, Arc::clone(&state), response, &self.budget);
                accepted.inspect_err(|_| state.release_socket())
            }
            Err(error) => {
                state.release_socket();
                Err(state.failure(failure_kind(&state, &error), error.to_string()))
            }
        }
    }

    fn run(&self, call: &Call) -> Result<Response<Body>, Error> {
        let agent = if call.new_connection {
            &self.fresh
        } else {
            &self.pooled
        };
        let request = Request::builder()
            .method(call.method.as_str())
            .uri(format!("http://{}{}", call.address, call.path))
            .header("x-request-id", &call.request_id);
        let request = call.headers.iter().fold(request, |request, (name, value)| {
            request.header(name.as_str(), value.as_str())
        });
        if call.body.is_empty() && !takes_body(&call.method) {
            return request.body(())?.with_agent(agent).run();
        }
        let request = request.body(&call.body[..])?;
        request.with_agent(agent).run()
    }
}

fn takes_body(method: &str) -> bool {
    matches!(method, "POST" | "PUT" | "PATCH")
}

fn build_agent(settings: &ClientSettings, idle_connections: usize) -> Agent {
    let config = Agent::config_builder()
        .max_redirects(0)
        .max_redirects_will_error(false)
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .proxy(None)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .input_buffer_size(settings.buffer_bytes)
        .output_buffer_size(settings.buffer_bytes)
        .max_response_header_size(settings.buffer_bytes)
        .max_idle_age(settings.max_idle)
        .max_idle_connections(idle_connections)
        .max_idle_connections_per_host(settings.idle_per_target)
        .build();
    let connector = TargetConnector {
        connect_timeout: settings.connect_timeout,
    };
    Agent::with_parts(config, connector, AddressResolver)
}

/// Resolver without DNS: URIs of targets contain IP addresses only.
#[derive(Debug)]
struct AddressResolver;

impl Resolver for AddressResolver {
    fn resolve(
        &self,
        uri: &ureq::http::Uri,
        _config: &ureq::config::Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let authority = uri.authority().ok_or(Error::HostNotFound)?;
        let address = authority.as_str().parse();
        let mut addresses = self.empty();
        addresses.push(address.map_err(|_| Error::HostNotFound)?);
        Ok(addresses)
    }
}

fn failure_kind(state: &CallState, error: &Error) -> FailureKind {
    if state.is_sent() {
        return match error {
            Error::Protocol(_) | Error::LargeResponseHeader(..) => FailureKind::Malformed,
            _ => FailureKind::CutHead,
        };
    }
    match error {
        Error::Io(error) if error.kind() == ErrorKind::ConnectionRefused => FailureKind::Refused,
        Error::Io(_) | Error::Timeout(_) => FailureKind::Connect,
        _ => FailureKind::BadCall,
    }
}
