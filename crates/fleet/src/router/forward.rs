//! Forwarding of one request: the choice of targets, retries and the final answer.

use std::rc::Rc;
use std::time::Duration;

use bamboospur_catalog::{Catalog, RequestKind, Route, Service, ServiceName};
use bamboospur_dispatch::{ChooseError, ChosenTarget, DispatchRequest, PromptPart};
use bamboospur_http1::ResponseHead;
use bamboospur_http1::server::{Request, Responder, build_response_head};
use bamboospur_platform::names;
use bamboospur_platform::request::RequestMetadata;
use bamboospur_types::{RequestRate, ResultCode, stable_id};
use tokio::time::{Instant, timeout};

use super::admit::{Admitted, Refusal, admit};
use super::attempt::{Answer, Attempt, AttemptEnd};
use super::attempt_history::{AttemptHistory, AttemptLimits, Execution};
use super::crashes::{SOUND_AFTER, check_target};
use super::event_stream::StreamProgress;
use super::rejections::Rejections;
use super::state::{ActiveAttempt, Router};
use super::trace::Trace;
use crate::stream_origins::{StreamId, StreamOrigin};

/// Most attempts of a request, including those that did not run the request.
const MAX_ATTEMPTS: u32 = 4;
/// Time that a caller is assumed to wait if the request states none.
const DEFAULT_WAIT: Duration = Duration::from_secs(30);
/// Longest `Retry-After`, as a fraction of the time until the deadline. Callers
/// honour up to a third of that time.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.3;
/// Longest wait for the lease, as a fraction of the time that the caller waits. The rest
/// is left for the request itself or another router.
const MAX_READY_WAIT_FRACTION: f64 = 0.5;
/// `Retry-After` when the router has no target. Setting up links and an election of the
/// control group take about this long.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Shortest `Retry-After`; shorter ones would not spread out the retries of callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(40);

/// Detail of the log line of a resumed stream that cannot go on.
const UNKNOWN_ORIGIN: &str =
    "the origin of the resumed stream is not known, or its service is not on the route";

/// Detail of the log line of a request with a part that crashes targets.
const BLOCKED_PART: &str = "a part of the prompt has crashed several targets";

/// An admitted request and the state of its forwarding.
pub struct Job<'a> {
    pub router: &'a Rc<Router>,
    pub request: &'a Request,
    pub metadata: RequestMetadata,
    pub route: &'a Route,
    pub service: &'a Service,
    pub team: Option<&'a str>,
    pub priority: Option<u8>,
    pub removes_key: bool,
    pub deadline: Instant,
    /// Part of an event stream that the caller has received.
    pub progress: StreamProgress,
    /// Origin of the stream, once its first event was delivered by this or an earlier
    /// request; it goes on only there.
    origin: Option<StreamOrigin>,
    pub history: AttemptHistory,
    pub rejections: Rejections,
    prompt: Vec<PromptPart>,
    /// Limit on its requests that the target of the last attempt stated.
    pub stated_limit: Option<RequestRate>,
    /// Names of the targets of earlier attempts.
    tried: Vec<String>,
    /// Those of them that are not to blame, to be asked again if no other target is left.
    second_choices: Vec<String>,
    /// Last server error that a target answered; sent to the caller if no other target
    /// gives a better answer.
    failed_answer: Option<(ChosenTarget, Answer)>,
}

impl Job<'_> {
    /// Records that a target with this software version wrote the first event of the stream,
    /// unless the stream has begun before.
    pub fn begin_stream(&mut self, software: &str) {
        if self.origin.is_some() {
            return;
        }
        let origin = StreamOrigin {
            service: self.service.name.clone(),
            software: software.to_owned(),
        };
        if self.route.resumable {
            let stream = stream_id(&self.metadata.id);
            self.router.begin_stream(stream, &origin, self.route);
        }
        self.origin = Some(origin);
    }

    /// Records that a target answered the request, or has been answering for long.
    pub fn record_answer(&self) {
        self.router.crashes.record_answer(&self.prompt);
    }

    /// Checks whether a target has ended that processed the request and did not answer it.
    fn check_target(&self, choice: &ChosenTarget, end: &AttemptEnd) {
        let was_unanswered = match end {
            AttemptEnd::BrokenOff { answering_for } => {
                answering_for.is_none_or(|time| time < SOUND_AFTER)
            }
            AttemptEnd::KeptConnectionEnded { sent } => *sent,
            _ => false,
        };
        if was_unanswered {
            check_target(self.router, choice, &self.prompt);
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Admits a request, forwards it to targets and answers the caller. Returns the
/// result for the log and the metrics.
pub async fn forward(
    router: &Rc<Router>,
    request: &Request,
    responder: &mut Responder<'_>,
    trace: &mut Trace,
) -> ResultCode {
    let metadata = RequestMetadata::from(&request.head);
    trace.resumes = metadata.resumed_id.clone().unwrap_or_default();
    trace.last_event_id = metadata.last_event_id;
    let path = &request.head.target;
    let fail_closed = router.bounds.fail_closed;
    let wait_deadline = request.arrived + wait(&metadata).mul_f64(MAX_READY_WAIT_FRACTION);
    loop {
        router.wait_for_targets(wait_deadline).await;
        let catalog = router.catalog.borrow().clone();
        let config_state = router.config_state();
        trace.version = catalog.as_ref().map_or(0, |c| c.version());
        trace.lease_age_ms = router
            .lease_age()
            .and_then(|age| u64::try_from(age.as_millis()).ok());
        let admission = admit(
            catalog.as_deref(),
            &metadata,
            path,
            config_state,
            fail_closed,
        );
        let refusal = match (admission, catalog.as_deref()) {
            (Ok(admitted), Some(catalog)) => {
                return forward_admitted(
                    router, request, catalog, admitted, metadata, responder, trace,
                )
                .await;
            }
            (Ok(_), None) => Refusal::NoConfig,
            (Err(refusal), _) => refusal,
        };
        trace.detail = format!("{refusal:?}");
        if !refusal.may_pass() {
            return refuse(responder, refusal.code(), None).await;
        }
        if !router.wait_until_ready(wait_deadline).await {
            let available_in = router
                .readiness
                .borrow()
                .retry_after(std::time::Instant::now());
            let pause = retry_after(router, available_in, wait(&metadata));
            return refuse(responder, refusal.code(), Some(pause)).await;
        }
        trace.detail.clear();
    }
}

/// Forwards an admitted request to targets and answers the caller.
async fn forward_admitted(
    router: &Rc<Router>,
    request: &Request,
    catalog: &Catalog,
    admitted: Admitted<'_>,
    metadata: RequestMetadata,
    responder: &mut Responder<'_>,
    trace: &mut Trace,
) -> ResultCode {
    if admitted.route.has_prompt {
        router.wait_for_prefixes().await;
    }
    trace.route.clone_from(&admitted.route.name);
    trace.team = admitted.team.map_or_else(String::new, |t| t.name.clone());
    let mut origin = None;
    if resumes_stream(admitted.route, &metadata) {
        origin = find_origin(router, admitted.route, &metadata).await;
        if origin.is_none() {
            UNKNOWN_ORIGIN.clone_into(&mut trace.detail);
            let pause = retry_after(router, NO_TARGET_RETRY_AFTER, wait(&metadata));
            return refuse(responder, ResultCode::NoTarget, Some(pause)).await;
        }
    }
    let Some(mut job) = new_job(router, request, catalog, admitted, metadata, origin) else {
        return refuse(responder, ResultCode::NoTarget, None).await;
    };
    router.count_request(&job.service.name);
    job.run(responder, trace).await
}

/// Creates the job of an admitted request; `None` if its route has no service.
fn new_job<'a>(
    router: &'a Rc<Router>,
    request: &'a Request,
    catalog: &'a Catalog,
    admitted: Admitted<'a>,
    metadata: RequestMetadata,
    origin: Option<StreamOrigin>,
) -> Option<Job<'a>> {
    let route = admitted.route;
    let service = match &origin {
        Some(origin) => &origin.service,
        None => route.service_for(stable_id(&metadata.id))?,
    };
    let wait = wait(&metadata).min(route.timeout);
    let team_priority = admitted.team.and_then(|t| t.priority);
    let to_prompt_part = |&(hash, tokens): &(u64, u64)| PromptPart { hash, tokens };
    let prompt = if route.has_prompt {
        metadata.prompt.iter().map(to_prompt_part).collect()
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
        removes_key: catalog.has_teams(),
        deadline: request.arrived + wait,
        progress: StreamProgress::new(metadata.last_event_id),
        origin,
        metadata,
        prompt,
        history: AttemptHistory::new(AttemptLimits {
            repeatable: route.is_repeatable(),
            max_runs: route.max_attempts,
            max_attempts: MAX_ATTEMPTS,
        }),
        rejections: Rejections::default(),
        stated_limit: None,
        tried: Vec::new(),
        second_choices: Vec::new(),
        failed_answer: None,
    })
}

impl Job<'_> {
    async fn run(&mut self, responder: &mut Responder<'_>, trace: &mut Trace) -> ResultCode {
        loop {
            if let Some(until) = self.router.crashes.blocked_until(&self.prompt) {
                return self.reject_blocked(until, responder, trace).await;
            }
            let choice = match self.choose() {
                Ok(choice) => choice,
                Err(no_choice) => return self.refuse_without_target(no_choice, responder).await,
            };
            match self.attempt(&choice, responder, trace).await {
                AttemptEnd::Relayed => {
                    self.record_answer();
                    return ResultCode::Ok;
                }
                AttemptEnd::CallerGone => return ResultCode::CallerGone,
                AttemptEnd::Deadline => {
                    return self
                        .answer_failure(ResultCode::DeadlineExceeded, responder)
                        .await;
                }
                AttemptEnd::Whole(answer) if !answer.is_failure() && !self.progress.has_begun() => {
                    self.record_failed_answer();
                    if answer.is_success() {
                        self.record_answer();
                    }
                    return deliver(responder, &answer).await;
                }
                AttemptEnd::Whole(answer) => {
                    self.failed_answer = Some((choice, answer));
                    if !self.may_retry(false) {
                        return self
                            .answer_failure(ResultCode::TargetFailed, responder)
                            .await;
                    }
                }
                AttemptEnd::NotAcceptable => {
                    let count = self.rejections.with_room();
                    trace.detail = format!("rejected by {count} targets that had free slots");
                    return self
                        .answer_failure(ResultCode::TargetRefused, responder)
                        .await;
                }
                failed @ (AttemptEnd::NotSent
                | AttemptEnd::Left
                | AttemptEnd::KeptConnectionEnded { .. }
                | AttemptEnd::NotRun
                | AttemptEnd::BrokenOff { .. }
                | AttemptEnd::Failed) => {
                    if !self.may_retry(failed.needs_no_retry()) {
                        return self
                            .answer_failure(ResultCode::TargetFailed, responder)
                            .await;
                    }
                }
            }
        }
    }

    /// Makes one attempt and records how it ended.
    async fn attempt(
        &mut self,
        choice: &ChosenTarget,
        responder: &mut Responder<'_>,
        trace: &mut Trace,
    ) -> AttemptEnd {
        let active = ActiveAttempt::new(self.router, &self.service.name, choice.clone());
        self.stated_limit = None;
        trace.execution = Execution::MayHaveRun;
        let end = Attempt::new(self, active).run(responder).await;
        trace.record_attempt(choice, &end, self.stated_limit, &self.prompt);
        self.tried.push(choice.name.clone());
        if matches!(end, AttemptEnd::KeptConnectionEnded { .. }) {
            self.second_choices.push(choice.name.clone());
        }
        self.history.record(end.execution());
        trace.execution = self.history.execution();
        self.check_target(choice, &end);
        end
    }

    /// Rejects the request because one of its parts crashes targets. Nothing is known to
    /// change before the block ends, so the caller is told to return then.
    async fn reject_blocked(
        &mut self,
        until: std::time::Instant,
        responder: &mut Responder<'_>,
        trace: &mut Trace,
    ) -> ResultCode {
        BLOCKED_PART.clone_into(&mut trace.detail);
        if !self.history.proves_not_run() || self.progress.has_begun() {
            return self
                .answer_failure(ResultCode::TargetFailed, responder)
                .await;
        }
        let pause = until.saturating_duration_since(std::time::Instant::now());
        refuse(responder, ResultCode::CrashesTargets, Some(pause)).await
    }

    /// Counts the last server error against the target that answered with it. Called
    /// when another target served the request: an error that every target returns is
    /// caused by the request.
    fn record_failed_answer(&mut self) {
        if let Some((choice, _)) = self.failed_answer.take() {
            let mut dispatcher = self.router.dispatcher.borrow_mut();
            let now = std::time::Instant::now();
            dispatcher.record_failure(&self.service.name, &choice, now);
        }
    }

    /// Chooses the target of the next attempt.
    fn choose(&mut self) -> Result<ChosenTarget, ChooseError> {
        let choice = self.choose_untried();
        if choice.is_ok() || self.second_choices.is_empty() {
            return choice;
        }
        let second_choices = std::mem::take(&mut self.second_choices);
        self.tried.retain(|name| !second_choices.contains(name));
        self.choose_untried()
    }

    fn choose_untried(&self) -> Result<ChosenTarget, ChooseError> {
        let request = DispatchRequest {
            service: &self.service.name,
            prompt: &self.prompt,
            repeatable: self.route.is_repeatable(),
            software: self.origin.as_ref().map(|origin| origin.software.as_str()),
            tried: &self.tried,
            max_in_flight_per_target: self.router.connection_share(self.service),
            cold_rate: self.service.cold_rate,
        };
        self.router
            .dispatcher
            .borrow_mut()
            .choose(&request, std::time::Instant::now())
    }

    /// Whether another target may be tried now. With `granted`, no retry is taken from
    /// the budget: one was taken before or none is needed.
    fn may_retry(&self, granted: bool) -> bool {
        let allowed = self.history.may_retry() && !self.time_left().is_zero();
        allowed && (granted || self.router.try_retry(&self.service.name))
    }

    async fn refuse_without_target(
        &mut self,
        error: ChooseError,
        responder: &mut Responder<'_>,
    ) -> ResultCode {
        let (code, available_in) = match error {
            ChooseError::NoTarget => (ResultCode::NoTarget, NO_TARGET_RETRY_AFTER),
            ChooseError::Full { available_in } => (ResultCode::Overloaded, available_in),
        };
        if !self.history.proves_not_run() || self.progress.has_begun() {
            return self
                .answer_failure(ResultCode::TargetFailed, responder)
                .await;
        }
        let pause = retry_after(self.router, available_in, self.time_left());
        refuse(responder, code, Some(pause)).await
    }

    /// Sends the final answer of a request that no target served. The caller is told
    /// that the request did not run only if no attempt may have run it.
    async fn answer_failure(
        &mut self,
        code: ResultCode,
        responder: &mut Responder<'_>,
    ) -> ResultCode {
        if self.progress.has_begun() {
            // The answer has begun, so the caller detects the failure by the missing
            // end of the chunked body.
            return ResultCode::StreamBroken;
        }
        if let Some((_, answer)) = self.failed_answer.take() {
            return deliver(responder, &answer).await;
        }
        if !self.history.proves_not_run() {
            return refuse(responder, code, None).await;
        }
        let pause = retry_after(self.router, MIN_RETRY_AFTER, self.time_left());
        refuse(responder, ResultCode::TargetRefused, Some(pause)).await
    }
}

fn stream_id(request_id: &str) -> StreamId {
    stable_id(request_id)
}

/// Whether a request resumes a stream that an earlier one began.
fn resumes_stream(route: &Route, metadata: &RequestMetadata) -> bool {
    let resumes = metadata.resumed_id.is_some() || metadata.last_event_id.is_some();
    resumes && route.kind == RequestKind::Stream && route.resumable
}

/// Returns where the stream that a request resumes began, if that is known and the route
/// still allows it.
async fn find_origin(
    router: &Router,
    route: &Route,
    metadata: &RequestMetadata,
) -> Option<StreamOrigin> {
    let shares = route.shares.iter().filter(|share| share.weight > 0);
    let services: Vec<ServiceName> = shares.map(|share| share.service.clone()).collect();
    let stream = metadata.resumed_id.as_deref().map(stream_id);
    let found = router.find_origin(stream, services.clone());
    let found = timeout(wait(metadata), found).await.ok().flatten();
    let origin = found.filter(|origin| services.contains(&origin.service));
    router.metrics.borrow_mut().record_resume(origin.is_some());
    if let (Some(stream), Some(origin)) = (stream, &origin) {
        router.begin_stream(stream, origin, route);
    }
    origin
}

/// Returns how long the caller of a request waits.
fn wait(metadata: &RequestMetadata) -> Duration {
    metadata.timeout.unwrap_or(DEFAULT_WAIT)
}

async fn deliver(responder: &mut Responder<'_>, answer: &Answer) -> ResultCode {
    match responder.write_response(&answer.head, &answer.body).await {
        Ok(()) if answer.is_failure() => ResultCode::TargetFailed,
        Ok(()) => ResultCode::Ok,
        Err(_) => ResultCode::CallerGone,
    }
}

/// Sends the router's own answer for a result code.
pub async fn refuse(
    responder: &mut Responder<'_>,
    code: ResultCode,
    pause: Option<Duration>,
) -> ResultCode {
    let (head, body) = result_answer(code, pause);
    match responder.write_response(&head, &body).await {
        Ok(()) => code,
        Err(_) => ResultCode::CallerGone,
    }
}

/// Returns the router's own answer for a result code, with `Retry-After` if the
/// status is 429 or 503.
pub fn result_answer(code: ResultCode, pause: Option<Duration>) -> (ResponseHead, Vec<u8>) {
    let mut head = build_response_head(code.http_status(), &[("Content-Type", "application/json")]);
    if let Some(pause) = pause.filter(|_| matches!(head.status, 429 | 503)) {
        let seconds = format!("{:.3}", pause.as_secs_f64());
        head.headers.push(names::RETRY_AFTER, seconds);
    }
    let body = format!("{{\"code\":{},\"result\":\"{code}\"}}", code.number());
    (head, body.into_bytes())
}

/// Returns the `Retry-After` for a caller: a random time between `available_in` and
/// twice as long, at most what callers honour, and at least [`MIN_RETRY_AFTER`].
fn retry_after(router: &Router, available_in: Duration, time_left: Duration) -> Duration {
    let spread = available_in + router.rng.borrow_mut().duration_up_to(available_in);
    spread
        .min(time_left.mul_f64(MAX_RETRY_AFTER_FRACTION))
        .max(MIN_RETRY_AFTER)
}

/// Whether an answer is forwarded event by event.
pub fn is_event_stream(route: &Route, head: &ResponseHead) -> bool {
    let content_type = head.headers.get("content-type").unwrap_or_default();
    let has_event_type = content_type
        .trim_start()
        .to_ascii_lowercase()
        .starts_with("text/event-stream");
    route.kind == RequestKind::Stream && head.status == 200 && has_event_type
}
