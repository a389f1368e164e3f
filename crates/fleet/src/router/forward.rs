//! One request: its targets, its retries and its final answer.

use std::rc::Rc;
use std::time::Duration;

use bamboospur_catalog::{Catalog, RequestKind, Route, Service};
use bamboospur_dispatch::{ChooseError, ChosenTarget, DispatchRequest, PromptPart};
use bamboospur_http1::ResponseHead;
use bamboospur_http1::server::{Request, Responder, build_response_head};
use bamboospur_platform::names;
use bamboospur_platform::request::RequestMetadata;
use bamboospur_types::{ResultCode, stable_id};
use tokio::time::Instant;
use tracing::info;

use super::admit::{Admitted, admit};
use super::attempt::{Answer, Attempt, AttemptEnd};
use super::evidence::{AttemptHistory, AttemptLimits};
use super::relay::Progress;
use super::state::{ActiveAttempt, Router};
use crate::clock::BootTime;

/// Targets that one request is offered to, refusals included.
const MAX_OFFERS: u32 = 4;
/// Time that a caller without a stated time waits.
const DEFAULT_WAIT: Duration = Duration::from_secs(30);
/// Callers honour a pause of up to a third of the time that they have left.
const MAX_PAUSE_SHARE: f64 = 0.3;
/// Pause before a caller comes back when the router is not ready; links and an
/// election of the control group take about this long.
const NOT_READY_PAUSE: Duration = Duration::from_millis(700);
/// Shortest pause that spreads callers out.
const MIN_PAUSE: Duration = Duration::from_millis(40);

/// What happened to a request, for its log line.
#[derive(Debug)]
pub struct Trace {
    id: String,
    route: String,
    team: String,
    version: u64,
    lease_age_ms: Option<u64>,
    attempts: Vec<String>,
    pub detail: String,
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
            attempts: Vec::new(),
            detail: String::new(),
        }
    }

    fn attempt(&mut self, choice: &ChosenTarget, end: &AttemptEnd) {
        let ChosenTarget {
            name,
            rank,
            load,
            bound,
            is_cached,
            copy_from,
            ..
        } = choice;
        let copied = copy_from.is_some();
        let text = format!(
            "{name} rank={rank} load={load:.1} bound={bound:.1} cached={is_cached} \
             copied={copied} {end}"
        );
        self.attempts.push(text);
    }

    pub fn log(&self, code: ResultCode, took: Duration) {
        info!(
            id = self.id,
            route = self.route,
            team = self.team,
            config_version = self.version,
            lease_age_ms = self.lease_age_ms,
            attempts = ?self.attempts,
            detail = self.detail,
            result = %code,
            number = code.number(),
            took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
            "request ended"
        );
    }
}

/// A request that is served, and how far it got.
pub struct Job<'a> {
    pub router: &'a Rc<Router>,
    pub request: &'a Request,
    pub terms: RequestMetadata,
    pub route: &'a Route,
    pub service: &'a Service,
    pub team: Option<&'a str>,
    pub priority: Option<u8>,
    pub hides_key: bool,
    pub deadline: Instant,
    /// What the caller has of a stream.
    pub progress: Progress,
    pub evidence: AttemptHistory,
    prompt: Vec<PromptPart>,
    /// Targets that the request was offered to.
    tried: Vec<String>,
    /// Failure that a target answered, in case no other target does better.
    held: Option<(ChosenTarget, Answer)>,
}

impl Job<'_> {
    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Serves a request and returns its result.
pub async fn forward(
    router: &Rc<Router>,
    request: &Request,
    responder: &mut Responder<'_>,
    trace: &mut Trace,
) -> ResultCode {
    let terms = RequestMetadata::from(&request.head);
    let catalog = router.catalog.borrow().clone();
    let now = BootTime::now();
    let (current, age) = {
        let lease = router.lease.borrow();
        (lease.is_valid(now), lease.age(now))
    };
    trace.version = catalog.as_ref().map_or(0, |c| c.version());
    trace.lease_age_ms = age.and_then(|age| u64::try_from(age.as_millis()).ok());
    let path = &request.head.target;
    let fail_closed = router.bounds.fail_closed;
    let admitted = match admit(catalog.as_deref(), &terms, path, current, fail_closed) {
        Ok(admitted) => admitted,
        Err(refusal) => {
            trace.detail = format!("{refusal:?}");
            let pause = pause(router, NOT_READY_PAUSE, terms.wait.unwrap_or(DEFAULT_WAIT));
            return refuse(responder, refusal.code(), Some(pause)).await;
        }
    };
    trace.route.clone_from(&admitted.route.name);
    trace.team = admitted.team.map_or_else(String::new, |t| t.name.clone());
    let Some(catalog) = catalog.as_deref() else {
        return ResultCode::NotReady;
    };
    let Some(mut job) = job(router, request, catalog, admitted, terms) else {
        return refuse(responder, ResultCode::NoTarget, None).await;
    };
    router.count_fresh(&job.service.name);
    job.run(responder, trace).await
}

fn job<'a>(
    router: &'a Rc<Router>,
    request: &'a Request,
    catalog: &'a Catalog,
    admitted: Admitted<'a>,
    terms: RequestMetadata,
) -> Option<Job<'a>> {
    let route = admitted.route;
    let service = route.service_for(stable_id(&terms.id))?;
    let wait = terms.wait.unwrap_or(DEFAULT_WAIT).min(route.timeout);
    let team_priority = admitted.team.and_then(|t| t.priority);
    let part = |&(hash, tokens): &(u64, u64)| PromptPart { hash, tokens };
    let prompt = if route.has_prompt {
        terms.prompt.iter().map(part).collect()
    } else {
        Vec::new()
    };
    Some(Job {
        router,
        request,
        route,
        service: catalog.service(service)?,
        team: admitted.team.map(|t| t.name.as_str()),
        priority: route
            .has_prompt
            .then(|| team_priority.unwrap_or(route.priority)),
        hides_key: catalog.has_teams(),
        deadline: request.arrived + wait,
        progress: Progress::new(terms.last_event_id),
        terms,
        prompt,
        evidence: AttemptHistory::new(AttemptLimits {
            repeatable: route.is_repeatable(),
            runs: route.max_attempts,
            offers: MAX_OFFERS,
        }),
        tried: Vec::new(),
        held: None,
    })
}

impl Job<'_> {
    async fn run(&mut self, responder: &mut Responder<'_>, trace: &mut Trace) -> ResultCode {
        loop {
            let choice = match self.choose() {
                Ok(choice) => choice,
                Err(no_choice) => return self.no_choice(no_choice, responder).await,
            };
            let active = ActiveAttempt::new(self.router, &self.service.name, choice.clone());
            let end = Attempt::new(self, active).run(responder).await;
            trace.attempt(&choice, &end);
            self.tried.push(choice.name.clone());
            self.evidence.record(end.proved());
            match end {
                AttemptEnd::Relayed => return ResultCode::Ok,
                AttemptEnd::CallerGone => return ResultCode::CallerGone,
                AttemptEnd::Deadline => {
                    return self.give_up(ResultCode::DeadlineExceeded, responder).await;
                }
                AttemptEnd::Whole(answer) if !answer.is_failure() => {
                    self.record_held_failure();
                    return deliver(responder, &answer).await;
                }
                AttemptEnd::Whole(answer) => {
                    self.held = Some((choice, answer));
                    if !self.may_retry(false) {
                        return self.give_up(ResultCode::TargetFailed, responder).await;
                    }
                }
                // A connection that was not made does not arrive at the service,
                // and the retry for an attempt that was left is already taken.
                AttemptEnd::NotSent | AttemptEnd::Left => {
                    if !self.may_retry(true) {
                        return self.give_up(ResultCode::TargetFailed, responder).await;
                    }
                }
                AttemptEnd::NotRun | AttemptEnd::Failed => {
                    if !self.may_retry(false) {
                        return self.give_up(ResultCode::TargetFailed, responder).await;
                    }
                }
            }
        }
    }

    /// A target whose failure another target does not repeat is at fault; a
    /// failure that all repeat belongs to the request.
    fn record_held_failure(&mut self) {
        if let Some((choice, _)) = self.held.take() {
            let mut dispatcher = self.router.dispatcher.borrow_mut();
            let now = std::time::Instant::now();
            dispatcher.record_failure(&self.service.name, &choice, now);
        }
    }

    fn choose(&self) -> Result<ChosenTarget, ChooseError> {
        let demand = DispatchRequest {
            service: &self.service.name,
            prompt: &self.prompt,
            repeatable: self.route.is_repeatable(),
            tried: &self.tried,
            connection_share: self.router.connection_share(self.service),
        };
        self.router
            .dispatcher
            .borrow_mut()
            .choose(&demand, std::time::Instant::now())
    }

    /// Whether another target may be tried now. `granted` says that the budget
    /// was asked before or need not be.
    fn may_retry(&self, granted: bool) -> bool {
        let allowed = self.evidence.may_retry() && !self.time_left().is_zero();
        allowed && (granted || self.router.try_retry(&self.service.name))
    }

    async fn no_choice(
        &mut self,
        no_choice: ChooseError,
        responder: &mut Responder<'_>,
    ) -> ResultCode {
        let (code, room_in) = match no_choice {
            ChooseError::NoTarget => (ResultCode::NoTarget, NOT_READY_PAUSE),
            ChooseError::Full { available_in } => (ResultCode::Overloaded, available_in),
        };
        if !self.evidence.proves_not_run() || self.progress.has_begun() {
            return self.give_up(ResultCode::TargetFailed, responder).await;
        }
        let pause = pause(self.router, room_in, self.time_left());
        refuse(responder, code, Some(pause)).await
    }

    /// Sends the final answer, at once. "Not run" is said only when no attempt
    /// can have run.
    async fn give_up(&mut self, code: ResultCode, responder: &mut Responder<'_>) -> ResultCode {
        if self.progress.has_begun() {
            // The caller sees that the stream ends without its end.
            return ResultCode::StreamBroken;
        }
        if let Some((_, answer)) = self.held.take() {
            return deliver(responder, &answer).await;
        }
        if !self.evidence.proves_not_run() {
            return refuse(responder, code, None).await;
        }
        let pause = pause(self.router, MIN_PAUSE, self.time_left());
        refuse(responder, ResultCode::TargetRefused, Some(pause)).await
    }
}

async fn deliver(responder: &mut Responder<'_>, answer: &Answer) -> ResultCode {
    match responder.answer(&answer.head, &answer.body).await {
        Ok(()) if answer.is_failure() => ResultCode::TargetFailed,
        Ok(()) => ResultCode::Ok,
        Err(_) => ResultCode::CallerGone,
    }
}

async fn refuse(
    responder: &mut Responder<'_>,
    code: ResultCode,
    pause: Option<Duration>,
) -> ResultCode {
    let (head, body) = own_answer(code, pause);
    match responder.answer(&head, &body).await {
        Ok(()) => code,
        Err(_) => ResultCode::CallerGone,
    }
}

/// Returns an answer of our own for a result code.
pub fn own_answer(code: ResultCode, pause: Option<Duration>) -> (ResponseHead, Vec<u8>) {
    let mut head = build_response_head(code.http_status(), &[("Content-Type", "application/json")]);
    if let Some(pause) = pause.filter(|_| matches!(head.status, 429 | 503)) {
        let seconds = format!("{:.3}", pause.as_secs_f64());
        head.headers.push(names::RETRY_AFTER, seconds);
    }
    let body = format!("{{\"code\":{},\"result\":\"{code}\"}}", code.number());
    (head, body.into_bytes())
}

/// Time after which a caller should come back: when room is expected, spread
/// out, and within what the caller honours.
fn pause(router: &Router, room_in: Duration, time_left: Duration) -> Duration {
    let spread = room_in + router.rng.borrow_mut().duration_up_to(room_in);
    spread
        .min(time_left.mul_f64(MAX_PAUSE_SHARE))
        .max(MIN_PAUSE)
}

/// Whether a request's answer is relayed event by event.
pub fn is_event_stream(route: &Route, head: &ResponseHead) -> bool {
    let kind = head.headers.get("content-type").unwrap_or_default();
    let events = kind
        .trim_start()
        .to_ascii_lowercase()
        .starts_with("text/event-stream");
    route.kind == RequestKind::Stream && head.status == 200 && events
}
