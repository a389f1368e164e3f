//! One attempt of a request at one target.

use std::time::Duration;

use bamboospur_dispatch::{LoadReport, Outcome};
use bamboospur_http1::ResponseHead;
use bamboospur_http1::client::{ClientConnection, ClientError, OutgoingRequest};
use bamboospur_http1::server::Responder;
use bamboospur_platform::answer::{
    ResponseVerdict, classify_response, is_leaving, parse_load, parse_rejection_time,
    parse_request_limit,
};
use bamboospur_platform::request::{AttemptMetadata, attempt_head};
use bamboospur_types::{BufferBudget, MAX_TIME, RequestRate};
use bytes::Bytes;
use tokio::time::{Instant, timeout_at};

use super::attempt_history::Execution;
use super::event_stream::{EventSource, StreamEnd, forward_stream};
use super::forward::{Job, is_event_stream};
use super::path_checks::await_answer;
use super::rejections::RejectionCause;
use super::state::ActiveAttempt;

/// Time limit for connecting to a target, which takes a few ms. TCP resends a lost packet
/// only after a second, so trying another target is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection is closed when the target acknowledges no data for this time.
const ACK_TIMEOUT: Duration = Duration::from_secs(2);
/// Size limit of a body that is not an event stream; a larger one fails the attempt, and one for
/// which there is no memory. The whole body is buffered, so that it is checked before any of it is
/// sent to the caller.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Most answers to earlier requests that are skipped on one connection.
const MAX_LATE_ANSWERS: usize = 2;
/// Size limit of the body of a rejection, which is read only to keep the connection.
const MAX_REJECTION_BYTES: usize = 64 * 1024;
/// Time limit for that body; the request goes to another target afterwards.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// A repeatable request waits this multiple of its latency objective for a
/// first result before it is retried on another target.
const FIRST_RESULT_TIMEOUT_FACTOR: f64 = 2.0;
/// A resumable stream waits this multiple of its event gap objective for the next
/// event before it is resumed on another target.
const EVENT_GAP_TIMEOUT_FACTOR: f64 = 2.0;

/// Complete answer of a target.
#[derive(Debug)]
pub struct Answer {
    /// Response head, without the hop-by-hop header fields.
    pub head: ResponseHead,
    pub body: Bytes,
}

impl Answer {
    /// Whether the status says that the request succeeded.
    pub const fn is_success(&self) -> bool {
        matches!(self.head.status, 200..=299)
    }

    /// Whether the status is a server error.
    pub const fn is_failure(&self) -> bool {
        self.head.status >= 500
    }
}

/// How an attempt ended.
#[derive(Debug, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEnd {
    /// The complete answer was read; nothing of it was sent to the caller yet.
    Whole(Answer),
    /// The complete event stream was sent to the caller.
    Relayed,
    /// The caller closed its connection.
    CallerGone,
    /// No byte of the request was sent.
    NotSent,
    /// The target answered that it did not run the request.
    NotRun,
    /// The target did not run the request, and others would not run it either.
    NotAcceptable,
    /// The attempt was abandoned because the target was too slow; its retry is
    /// already taken from the retry budget.
    Left,
    /// A connection that was kept from an earlier request ended before any answer, probably
    /// because the target had closed it as idle. The target is not to blame.
    KeptConnectionEnded {
        /// Whether a byte of the request was written.
        sent: bool,
    },
    /// The target may have run the request, and ended the connection before its answer was
    /// complete.
    BrokenOff {
        /// How long the target had been answering; `None` before the first event.
        answering_for: Option<Duration>,
    },
    /// The target may have run the request, and there is no complete answer.
    Failed,
    /// The deadline of the request passed.
    Deadline,
}

impl AttemptEnd {
    /// Whether the target may have run the request.
    pub const fn execution(&self) -> Execution {
        match self {
            Self::NotSent
            | Self::NotRun
            | Self::NotAcceptable
            | Self::KeptConnectionEnded { sent: false } => Execution::NotRun,
            Self::Whole(_)
            | Self::KeptConnectionEnded { sent: true }
            | Self::Relayed
            | Self::CallerGone
            | Self::Left
            | Self::BrokenOff { .. }
            | Self::Failed
            | Self::Deadline => Execution::MayHaveRun,
        }
    }

    /// Whether another attempt takes no retry from the budget. An attempt that sent nothing
    /// added no load to the service; an abandoned one has already taken its retry.
    pub const fn needs_no_retry(&self) -> bool {
        matches!(
            self,
            Self::NotSent | Self::Left | Self::KeptConnectionEnded { sent: false }
        )
    }
}

/// Result of [`wait_or_abandon`].
enum WaitResult<T> {
    Done(T),
    Abandoned,
    Deadline,
}

/// An attempt in progress.
pub struct Attempt<'a, 'j> {
    job: &'a mut Job<'j>,
    active: ActiveAttempt,
    sent_at: Instant,
}

impl<'a, 'j> Attempt<'a, 'j> {
    pub fn new(job: &'a mut Job<'j>, active: ActiveAttempt) -> Self {
        Self {
            job,
            active,
            sent_at: Instant::now(),
        }
    }

    /// Sends the request to the target and handles the answer; an event stream is
    /// sent on to the caller as it arrives.
    pub async fn run(mut self, responder: &mut Responder<'_>) -> AttemptEnd {
        let (mut connection, reused) = match self.connect().await {
            Ok(connected) => connected,
            Err(end) => return end,
        };
        self.active.set_connected();
        self.job
            .router
            .metrics
            .borrow_mut()
            .record_connection(reused);
        let request = self.outgoing_request();
        let method = self.job.request.head.method.clone();
        let first_result_by = self.first_result_deadline();
        let exchange = async {
            let head = connection.exchange(request, &method).await?;
            self.skip_late_answers(&mut connection, head, &method, reused)
                .await
        };
        let (router, service) = (self.job.router, &self.job.service.name);
        let exchange = await_answer(router, service, &self.active.choice, exchange);
        let (head, verdict) = match wait_or_abandon(self.job, first_result_by, exchange).await {
            WaitResult::Done(Ok(matched)) => matched,
            WaitResult::Done(Err(error)) => {
                let written_bytes = connection.written_bytes();
                return self.connection_failed(&error, written_bytes, reused);
            }
            WaitResult::Abandoned => return self.fail_with(AttemptEnd::Left),
            WaitResult::Deadline => return self.fail_with(AttemptEnd::Deadline),
        };
        self.record_wishes(&head, verdict);
        let load = self.record_load(&head);
        match verdict {
            ResponseVerdict::NotRunFull | ResponseVerdict::NotRunMisdirected => {
                self.handle_refusal(connection, &head, verdict, load).await
            }
            ResponseVerdict::RequestIdMismatch | ResponseVerdict::InvalidAnswer => {
                self.active.set_outcome(Outcome::Failed);
                AttemptEnd::Failed
            }
            ResponseVerdict::Ran if is_event_stream(self.job.route, &head) => {
                self.forward_stream(connection, &head, responder).await
            }
            ResponseVerdict::Ran => self.read_answer(connection, head).await,
        }
    }

    async fn connect(&mut self) -> Result<(ClientConnection, bool), AttemptEnd> {
        let address = self.active.choice.address;
        let idle = self
            .job
            .router
            .pool
            .borrow_mut()
            .take(address, Instant::now());
        if let Some(connection) = idle {
            return Ok((connection, true));
        }
        let budget = &self.job.router.buffers;
        let connect = ClientConnection::connect(address, CONNECT_TIMEOUT, ACK_TIMEOUT, budget);
        if let Ok(Ok(connection)) = timeout_at(self.job.deadline, connect).await {
            return Ok((connection, false));
        }
        self.active.set_outcome(Outcome::Unreachable);
        Err(AttemptEnd::NotSent)
    }

    fn outgoing_request(&mut self) -> OutgoingRequest {
        self.sent_at = Instant::now();
        let job = &*self.job;
        let metadata = AttemptMetadata {
            timeout: job.deadline.saturating_duration_since(self.sent_at),
            target: &self.active.choice.name,
            team: job.team,
            priority: job.priority,
            last_event_id: job.progress.last_event_id(),
            copy_from: self.active.choice.copy_from,
            remove_key: job.removes_key,
        };
        OutgoingRequest::new(
            &attempt_head(&job.request.head, &metadata),
            &job.request.body,
        )
    }

    /// Time by which a healthy target has sent a first result; the deadline of the request if
    /// its route has no objective.
    fn first_result_deadline(&self) -> Instant {
        let objective = self.job.route.latency_objective;
        if objective.is_zero() {
            return self.job.deadline;
        }
        self.sent_at + objective.mul_f64(FIRST_RESULT_TIMEOUT_FACTOR)
    }

    /// Skips late answers to earlier requests on the connection, which may be `reused`, and
    /// returns the first answer to this request.
    async fn skip_late_answers(
        &self,
        connection: &mut ClientConnection,
        mut head: ResponseHead,
        method: &str,
        reused: bool,
    ) -> Result<(ResponseHead, ResponseVerdict), ClientError> {
        let id = &self.job.metadata.id;
        let mut verdict = classify_response(&head, id, !reused);
        for _ in 0..MAX_LATE_ANSWERS {
            if verdict != ResponseVerdict::RequestIdMismatch {
                break;
            }
            if !connection.skip_body(MAX_BODY_BYTES).await? {
                return Err(ClientError::InvalidResponse);
            }
            head = connection.next_head(method).await?;
            verdict = classify_response(&head, id, false);
        }
        Ok((head, verdict))
    }

    /// Records whether the target says that it leaves, asks for no requests for a time, or
    /// states a limit. An answer that another process sent, or that belongs to another request,
    /// says nothing about the target.
    fn record_wishes(&mut self, head: &ResponseHead, verdict: ResponseVerdict) {
        let own = match verdict {
            ResponseVerdict::Ran | ResponseVerdict::NotRunFull => true,
            ResponseVerdict::NotRunMisdirected
            | ResponseVerdict::RequestIdMismatch
            | ResponseVerdict::InvalidAnswer => false,
        };
        if own && is_leaving(&head.headers) {
            self.job.router.record_leaving(&self.active.choice);
        }
        if own {
            let limit = parse_request_limit(&head.headers);
            self.record_limit(limit, verdict == ResponseVerdict::Ran);
        }
        let (service, choice) = (&self.job.service.name, &self.active.choice);
        let mut dispatcher = self.job.router.dispatcher.borrow_mut();
        if own && let Some(rejected_for) = parse_rejection_time(head) {
            dispatcher.record_rejection(service, choice, rejected_for, std::time::Instant::now());
        } else if verdict == ResponseVerdict::Ran {
            dispatcher.record_acceptance(service, choice);
        }
    }

    /// Records whether the target states a limit on its requests. A rejection without a limit
    /// does not say that it has none.
    fn record_limit(&mut self, limit: Option<RequestRate>, ran: bool) {
        self.job.stated_limit = limit;
        let router = self.job.router;
        if limit.is_some() {
            router.metrics.borrow_mut().record_stated_limit();
        }
        if limit.is_some() || ran {
            let (choice, now) = (&self.active.choice, std::time::Instant::now());
            let mut dispatcher = router.dispatcher.borrow_mut();
            dispatcher.record_stated_limit(choice, limit, now);
        }
    }

    /// Records the load that an answer states, and returns it.
    fn record_load(&self, head: &ResponseHead) -> Option<LoadReport> {
        let stated = parse_load(&head.headers)?;
        let report = LoadReport {
            running: stated.running,
            waiting: stated.waiting,
            slots: stated.slots,
        };
        let mut dispatcher = self.job.router.dispatcher.borrow_mut();
        let service = &self.job.service.name;
        dispatcher.record_load_report(
            service,
            &self.active.choice,
            report,
            std::time::Instant::now(),
        );
        Some(report)
    }

    /// Handles an answer that says that the target did not run the request. The
    /// connection is kept if the body is short and ends soon, unless the request
    /// reached a process other than the chosen target.
    async fn handle_refusal(
        mut self,
        mut connection: ClientConnection,
        head: &ResponseHead,
        verdict: ResponseVerdict,
        load: Option<LoadReport>,
    ) -> AttemptEnd {
        let misdirected = verdict == ResponseVerdict::NotRunMisdirected;
        let end = if misdirected {
            let service = &self.job.service.name;
            self.job
                .router
                .record_replaced(service, &self.active.choice);
            AttemptEnd::NotRun
        } else {
            // A target that asks for no requests would reject any, not just this one.
            let load = load.filter(|_| parse_rejection_time(head).is_none());
            match self.job.rejections.record(load) {
                RejectionCause::Target => {
                    self.active.set_outcome(Outcome::Full);
                    AttemptEnd::NotRun
                }
                RejectionCause::Request => AttemptEnd::NotAcceptable,
            }
        };
        let read_by = self
            .job
            .deadline
            .min(Instant::now() + REJECTION_BODY_TIMEOUT);
        let body = timeout_at(read_by, connection.skip_body(MAX_REJECTION_BYTES)).await;
        if matches!(body, Ok(Ok(true))) && !misdirected {
            self.keep_connection(connection, head);
        }
        end
    }

    async fn read_answer(
        mut self,
        mut connection: ClientConnection,
        mut head: ResponseHead,
    ) -> AttemptEnd {
        let read = read_body(&mut connection, &self.job.router.buffers);
        let body = match wait_or_abandon(self.job, self.first_result_deadline(), read).await {
            WaitResult::Done(Ok(body)) => body,
            WaitResult::Done(Err(error)) => {
                let end = if error.is_connection_end() {
                    AttemptEnd::BrokenOff {
                        answering_for: None,
                    }
                } else {
                    AttemptEnd::Failed
                };
                return self.fail_with(end);
            }
            WaitResult::Abandoned => return self.fail_with(AttemptEnd::Left),
            WaitResult::Deadline => return self.fail_with(AttemptEnd::Deadline),
        };
        // A failure counts against the target only if another target does better;
        // see `Job::record_failed_answer`.
        if head.status < 500 {
            let latency = self.sent_at.elapsed();
            self.active.set_outcome(Outcome::Answered { latency });
        }
        self.keep_connection(connection, &head);
        head.headers.remove_hop_by_hop_fields();
        AttemptEnd::Whole(Answer { head, body })
    }

    async fn forward_stream(
        mut self,
        mut connection: ClientConnection,
        head: &ResponseHead,
        responder: &mut Responder<'_>,
    ) -> AttemptEnd {
        let event_gap_timeout = match self.job.route.event_gap_objective {
            Duration::ZERO => MAX_TIME,
            objective => objective.mul_f64(EVENT_GAP_TIMEOUT_FACTOR),
        };
        let first_event_by = self.first_result_deadline();
        let forwarded = forward_stream(
            self.job,
            EventSource {
                choice: &self.active.choice,
                connection: &mut connection,
                head,
            },
            responder,
            first_event_by,
            event_gap_timeout,
        )
        .await;
        let latency = forwarded.first_event_at.map(|at| at - self.sent_at);
        let outcome = latency.map_or(Outcome::Neutral, |latency| Outcome::Answered { latency });
        match forwarded.end {
            StreamEnd::Complete => {
                self.active.set_outcome(outcome);
                self.keep_connection(connection, head);
                AttemptEnd::Relayed
            }
            StreamEnd::CallerGone => {
                self.active.set_outcome(outcome);
                AttemptEnd::CallerGone
            }
            StreamEnd::BrokenOff => {
                let answering_for = forwarded.first_event_at.map(|at| at.elapsed());
                self.fail_with(AttemptEnd::BrokenOff { answering_for })
            }
            StreamEnd::Malformed => self.fail_with(AttemptEnd::Failed),
            StreamEnd::Abandoned => self.fail_with(AttemptEnd::Left),
            StreamEnd::Deadline => self.fail_with(AttemptEnd::Deadline),
        }
    }

    fn keep_connection(&self, connection: ClientConnection, head: &ResponseHead) {
        let address = self.active.choice.address;
        let mut pool = self.job.router.pool.borrow_mut();
        pool.keep(address, connection, &head.headers, Instant::now());
    }

    fn fail_with(mut self, end: AttemptEnd) -> AttemptEnd {
        self.active.set_outcome(Outcome::Failed);
        end
    }

    /// Handles a failed exchange. On a reused connection, the target may have closed
    /// the connection while the request was on its way. Such a failure does not count
    /// against the target, and the next attempt there uses a new connection.
    fn connection_failed(
        mut self,
        error: &ClientError,
        written_bytes: usize,
        reused: bool,
    ) -> AttemptEnd {
        let ended = error.is_connection_end();
        if reused && ended {
            let mut pool = self.job.router.pool.borrow_mut();
            pool.close_all(self.active.choice.address);
            return AttemptEnd::KeptConnectionEnded {
                sent: written_bytes > 0,
            };
        }
        let timed_out = reused && matches!(error, ClientError::Io(_));
        self.active.set_outcome(if timed_out {
            Outcome::Neutral
        } else {
            Outcome::Failed
        });
        if written_bytes == 0 {
            AttemptEnd::NotSent
        } else if ended {
            AttemptEnd::BrokenOff {
                answering_for: None,
            }
        } else {
            AttemptEnd::Failed
        }
    }
}

async fn read_body(
    connection: &mut ClientConnection,
    budget: &BufferBudget,
) -> Result<Bytes, ClientError> {
    let mut body = budget.buffer();
    while let Some(chunk) = connection.next_chunk().await? {
        let has_room = body.extend(&chunk).is_ok();
        if !has_room || body.len() > MAX_BODY_BYTES {
            return Err(ClientError::InvalidResponse);
        }
    }
    Ok(Bytes::from_owner(body))
}

/// Waits for a part of an answer. When the part has not arrived at `abandon_at`, the
/// attempt is abandoned if the request may be repeated and the budget grants a
/// retry; otherwise the wait lasts until the deadline.
async fn wait_or_abandon<T>(
    job: &Job<'_>,
    abandon_at: Instant,
    part: impl Future<Output = T>,
) -> WaitResult<T> {
    tokio::pin!(part);
    let abandon_at = abandon_at.min(job.deadline);
    if let Ok(done) = timeout_at(abandon_at, &mut part).await {
        return WaitResult::Done(done);
    }
    let may_repeat = job.route.is_repeatable() && job.history.may_abandon_attempt();
    let before_deadline = Instant::now() < job.deadline;
    if before_deadline && may_repeat && job.router.try_retry(&job.service.name) {
        return WaitResult::Abandoned;
    }
    match timeout_at(job.deadline, &mut part).await {
        Ok(done) => WaitResult::Done(done),
        Err(_) => WaitResult::Deadline,
    }
}
