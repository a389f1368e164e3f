//! One attempt of a request at one target.

use std::time::Duration;

use bamboospur_dispatch::{LoadReport, Outcome};
use bamboospur_http1::ResponseHead;
use bamboospur_http1::client::{ClientConnection, ClientError, request_bytes};
use bamboospur_http1::server::Responder;
use bamboospur_platform::answer::{ResponseVerdict, classify_response, parse_load};
use bamboospur_platform::request::{AttemptMetadata, attempt_head};
use tokio::time::{Instant, timeout_at};

use super::evidence::Execution;
use super::forward::{Job, is_event_stream};
use super::relay::{RelayEnd, relay};
use super::state::ActiveAttempt;

/// A connection to a target takes a few ms. A lost packet would be sent again only
/// after a second; another connection is sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A target that acknowledges nothing for this time is gone.
const SILENCE: Duration = Duration::from_secs(2);
/// Larger bodies are refused, because they cannot be checked before they are
/// passed on.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Answers to earlier requests that are skipped on one connection.
const MAX_STRAY_ANSWERS: usize = 2;
/// A repeatable request waits this multiple of its latency objective for a
/// first result before another target is asked.
const PATIENCE_FACTOR: f64 = 2.0;
/// A resumable stream waits this multiple of its gap objective for an event.
const GAP_PATIENCE_FACTOR: f64 = 2.0;

/// Whole answer of a target.
#[derive(Debug)]
pub struct Answer {
    /// Head, without the fields of the connection.
    pub head: ResponseHead,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Whether the target failed to serve the request.
    pub const fn is_failure(&self) -> bool {
        self.head.status >= 500
    }
}

/// How an attempt ended.
#[derive(Debug, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEnd {
    /// The whole answer was read; the caller has nothing of it yet.
    Whole(Answer),
    /// The whole answer was passed on.
    Relayed,
    /// The caller closed.
    CallerGone,
    /// No byte left.
    NotSent,
    /// The target proved that it did not run the request.
    NotRun,
    /// The target was too slow, and a retry was taken from the budget.
    Left,
    /// The target may have run the request, and there is no whole answer.
    Failed,
    /// The time is over.
    Deadline,
}

impl AttemptEnd {
    /// What the end proves about the request.
    pub const fn proved(&self) -> Execution {
        match self {
            Self::NotSent | Self::NotRun => Execution::NotRun,
            Self::Whole(_)
            | Self::Relayed
            | Self::CallerGone
            | Self::Left
            | Self::Failed
            | Self::Deadline => Execution::MayHaveRun,
        }
    }
}

/// Result of waiting with patience.
enum Waited<T> {
    Done(T),
    Left,
    Deadline,
}

/// An attempt under way.
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

    /// Exchanges the request with the target.
    pub async fn run(mut self, responder: &mut Responder<'_>) -> AttemptEnd {
        let (mut connection, reused) = match self.connect().await {
            Ok(connected) => connected,
            Err(end) => return end,
        };
        self.job.router.metrics.borrow_mut().connection(reused);
        let bytes = self.request_bytes();
        let method = self.job.request.head.method.clone();
        let mut written = 0;
        let first_by = self.first_result_by();
        let exchange = connection.exchange(&bytes, &method, &mut written);
        let head = match wait(self.job, first_by, exchange).await {
            Waited::Done(Ok(head)) => head,
            Waited::Done(Err(error)) => return self.failed(&error, written, reused),
            Waited::Left => return self.slow(AttemptEnd::Left),
            Waited::Deadline => return self.slow(AttemptEnd::Deadline),
        };
        let matched = self.match_answer(&mut connection, head, &method);
        let (head, verdict) = match timeout_at(self.job.deadline, matched).await {
            Ok(Ok(matched)) => matched,
            Ok(Err(error)) => return self.failed(&error, written, reused),
            Err(_) => return self.slow(AttemptEnd::Deadline),
        };
        self.report_load(&head);
        match verdict {
            ResponseVerdict::NotRunFull | ResponseVerdict::NotRunMisdirected => {
                self.refused(connection, &head, verdict).await
            }
            ResponseVerdict::RequestIdMismatch | ResponseVerdict::NotGenuine => {
                self.active.set(Outcome::Failed);
                AttemptEnd::Failed
            }
            ResponseVerdict::Ran if is_event_stream(self.job.route, &head) => {
                self.relay(connection, &head, responder).await
            }
            ResponseVerdict::Ran => self.whole(connection, head).await,
        }
    }

    async fn connect(&mut self) -> Result<(ClientConnection, bool), AttemptEnd> {
        let address = self.active.choice.address;
        let kept = self
            .job
            .router
            .pool
            .borrow_mut()
            .take(address, Instant::now());
        if let Some(connection) = kept {
            return Ok((connection, true));
        }
        let connect = ClientConnection::connect(address, CONNECT_TIMEOUT, SILENCE);
        if let Ok(Ok(connection)) = timeout_at(self.job.deadline, connect).await {
            return Ok((connection, false));
        }
        self.active.set(Outcome::Unreachable);
        Err(AttemptEnd::NotSent)
    }

    fn request_bytes(&mut self) -> Vec<u8> {
        self.sent_at = Instant::now();
        let job = &*self.job;
        let terms = AttemptMetadata {
            wait: job.deadline.saturating_duration_since(self.sent_at),
            target: &self.active.choice.name,
            team: job.team,
            priority: job.priority,
            last_event_id: job.progress.last_event_id(),
            copy_from: self.active.choice.copy_from,
            hides_key: job.hides_key,
        };
        request_bytes(&attempt_head(&job.request.head, &terms), &job.request.body)
    }

    /// Time by which a first result is expected of a target that works.
    fn first_result_by(&self) -> Instant {
        let objective = self.job.route.latency_objective;
        self.sent_at + objective.mul_f64(PATIENCE_FACTOR)
    }

    /// Skips answers to earlier requests that arrive late on the connection.
    async fn match_answer(
        &self,
        connection: &mut ClientConnection,
        mut head: ResponseHead,
        method: &str,
    ) -> Result<(ResponseHead, ResponseVerdict), ClientError> {
        let mut verdict = classify_response(&head, &self.job.terms.id);
        for _ in 0..MAX_STRAY_ANSWERS {
            if verdict != ResponseVerdict::RequestIdMismatch {
                break;
            }
            while connection.next_chunk().await?.is_some() {}
            head = connection.next_head(method).await?;
            verdict = classify_response(&head, &self.job.terms.id);
        }
        Ok((head, verdict))
    }

    fn report_load(&self, head: &ResponseHead) {
        let Some(stated) = parse_load(&head.headers) else {
            return;
        };
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
    }

    /// A refusal with proof; its connection is kept when its body ends in time.
    async fn refused(
        mut self,
        mut connection: ClientConnection,
        head: &ResponseHead,
        verdict: ResponseVerdict,
    ) -> AttemptEnd {
        let moved = verdict == ResponseVerdict::NotRunMisdirected;
        self.active.set(if moved {
            Outcome::Failed
        } else {
            Outcome::Full
        });
        let body = async { while matches!(connection.next_chunk().await, Ok(Some(_))) {} };
        let ended = timeout_at(self.job.deadline, body).await.is_ok();
        if ended && !moved {
            self.keep(connection, head);
        }
        AttemptEnd::NotRun
    }

    async fn whole(
        mut self,
        mut connection: ClientConnection,
        mut head: ResponseHead,
    ) -> AttemptEnd {
        let read = read_body(&mut connection);
        let body = match wait(self.job, self.first_result_by(), read).await {
            Waited::Done(Ok(body)) => body,
            Waited::Done(Err(_)) => {
                self.active.set(Outcome::Failed);
                return AttemptEnd::Failed;
            }
            Waited::Left => return self.slow(AttemptEnd::Left),
            Waited::Deadline => return self.slow(AttemptEnd::Deadline),
        };
        // Whether a failure is the target's fault shows at the next target.
        if head.status < 500 {
            let latency = self.sent_at.elapsed();
            self.active.set(Outcome::Answered { latency });
        }
        self.keep(connection, &head);
        head.headers.remove_connection_fields();
        AttemptEnd::Whole(Answer { head, body })
    }

    async fn relay(
        mut self,
        mut connection: ClientConnection,
        head: &ResponseHead,
        responder: &mut Responder<'_>,
    ) -> AttemptEnd {
        let gap = self
            .job
            .route
            .event_gap_objective
            .mul_f64(GAP_PATIENCE_FACTOR);
        let first_by = self.first_result_by();
        let ended = relay(self.job, &mut connection, head, responder, first_by, gap).await;
        let latency = ended.first_event_at.map(|at| at - self.sent_at);
        let answered = latency.map_or(Outcome::Neutral, |latency| Outcome::Answered { latency });
        match ended.end {
            RelayEnd::Complete => {
                self.active.set(answered);
                self.keep(connection, head);
                AttemptEnd::Relayed
            }
            RelayEnd::CallerGone => {
                self.active.set(answered);
                AttemptEnd::CallerGone
            }
            RelayEnd::Broken => {
                self.active.set(Outcome::Failed);
                AttemptEnd::Failed
            }
            RelayEnd::Left => self.slow(AttemptEnd::Left),
            RelayEnd::Deadline => self.slow(AttemptEnd::Deadline),
        }
    }

    fn keep(&self, connection: ClientConnection, head: &ResponseHead) {
        let address = self.active.choice.address;
        let mut pool = self.job.router.pool.borrow_mut();
        pool.keep(address, connection, &head.headers, Instant::now());
    }

    fn slow(mut self, end: AttemptEnd) -> AttemptEnd {
        self.active.set(Outcome::Failed);
        end
    }

    /// A connection that failed. A kept one may have crossed the target's close,
    /// which says nothing about the target.
    fn failed(mut self, error: &ClientError, written: usize, reused: bool) -> AttemptEnd {
        let crossed = reused && matches!(error, ClientError::Closed | ClientError::Io(_));
        self.active.set(if crossed {
            Outcome::Neutral
        } else {
            Outcome::Failed
        });
        if written == 0 {
            AttemptEnd::NotSent
        } else {
            AttemptEnd::Failed
        }
    }
}

async fn read_body(connection: &mut ClientConnection) -> Result<Vec<u8>, ClientError> {
    let mut body = Vec::new();
    while let Some(piece) = connection.next_chunk().await? {
        body.extend_from_slice(&piece);
        if body.len() > MAX_BODY_BYTES {
            return Err(ClientError::NotHttp);
        }
    }
    Ok(body)
}

/// Waits for a part of an answer. When it does not come in time, another target
/// is asked if the request may be repeated and the budget has a retry; otherwise
/// the wait goes on.
async fn wait<T>(
    job: &Job<'_>,
    patient_until: Instant,
    part: impl Future<Output = T>,
) -> Waited<T> {
    tokio::pin!(part);
    let patient_until = patient_until.min(job.deadline);
    if let Ok(done) = timeout_at(patient_until, &mut part).await {
        return Waited::Done(done);
    }
    let repeats = job.route.is_repeatable() && job.evidence.may_abandon_attempt();
    let early = Instant::now() < job.deadline;
    if early && repeats && job.router.try_retry(&job.service.name) {
        return Waited::Left;
    }
    match timeout_at(job.deadline, &mut part).await {
        Ok(done) => Waited::Done(done),
        Err(_) => Waited::Deadline,
    }
}
