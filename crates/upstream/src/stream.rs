//! Event stream of an engine that is resumed when its connection breaks.
//!
//! Events are numbered from 1. A broken stream is resumed after the last number
//! received. Repeated events are dropped and a gap is a failure, so the caller gets
//! every event exactly once or an error.

use std::thread;
use std::time::{Duration, Instant};

use crate::answer::Answer;
use crate::call::Call;
use crate::client::Client;
use crate::event::{Event, EventReader};
use crate::failure::{Failure, FailureKind};
use crate::state::CancelHandle;

/// How long engines keep a broken stream for a resume.
const RESUME_WINDOW: Duration = Duration::from_secs(5);
/// Delay before the second resume attempt; it doubles after each attempt.
const INITIAL_RESUME_DELAY: Duration = Duration::from_millis(100);

/// Events of one response, including those received after resumes.
#[derive(Debug)]
pub struct EventStream {
    client: Client,
    call: Call,
    cancel: CancelHandle,
    reader: EventReader,
    last_id: u64,
    resumes: u32,
    /// Repeated events since the last new one or the last resume.
    repeated_events: u64,
}

impl EventStream {
    /// Creates the stream of the events in `answer`, the response to `call`.
    #[must_use]
    pub fn new(client: Client, call: Call, cancel: CancelHandle, answer: Answer) -> Self {
        Self {
            client,
            call,
            cancel,
            reader: EventReader::new(answer.body),
            last_id: 0,
            resumes: 0,
            repeated_events: 0,
        }
    }

    /// Returns how many times a resume was attempted.
    #[must_use]
    pub const fn resumes(&self) -> u32 {
        self.resumes
    }

    /// Returns the number of the last event returned; 0 before the first one.
    #[must_use]
    pub const fn last_id(&self) -> u64 {
        self.last_id
    }

    /// Returns the next event, resuming the stream when it breaks.
    ///
    /// # Errors
    ///
    /// Fails when the stream breaks and cannot be resumed within 5 s or before the
    /// deadline of the call.
    pub fn next_event(&mut self) -> Result<Event, Failure> {
        loop {
            let event = match self.reader.next_event() {
                Ok(event) => event,
                Err(failure) => {
                    self.resume(failure)?;
                    continue;
                }
            };
            if event.is_done() {
                self.reader.finish();
                return Ok(event);
            }
            if self.accept(&event)? {
                return Ok(event);
            }
        }
    }

    /// Returns whether the event is the next one; `false` for a repeated event.
    fn accept(&mut self, event: &Event) -> Result<bool, Failure> {
        let Some(id) = event.id else {
            return Err(broken_stream("an event has no id"));
        };
        if id <= self.last_id {
            self.repeated_events += 1;
            // A target that begins anew repeats each event once.
            if self.repeated_events > self.last_id {
                return Err(broken_stream(
                    "the stream repeats its events again and again",
                ));
            }
            return Ok(false);
        }
        self.repeated_events = 0;
        if id != self.last_id + 1 {
            return Err(broken_stream("the stream skipped an event id"));
        }
        self.last_id = id;
        Ok(true)
    }

    fn resume(&mut self, broken: Failure) -> Result<(), Failure> {
        if !is_resumable(broken.kind) {
            return Err(broken);
        }
        let resume_deadline = (Instant::now() + RESUME_WINDOW).min(self.call.deadline);
        let mut delay = INITIAL_RESUME_DELAY;
        loop {
            match self.try_resume(resume_deadline) {
                Ok(answer) => {
                    self.reader = EventReader::new(answer.body);
                    self.repeated_events = 0;
                    return Ok(());
                }
                Err(failure) if is_final(failure.kind) => return Err(failure),
                Err(_) if Instant::now() + delay >= resume_deadline => return Err(broken),
                Err(_) => thread::sleep(delay),
            }
            delay *= 2;
        }
    }

    fn try_resume(&mut self, resume_deadline: Instant) -> Result<Answer, Failure> {
        self.resumes += 1;
        let mut call = self.call.clone();
        call.request_id = format!("{}-r{}", self.call.request_id, self.resumes);
        call.new_connection = true;
        call.timeouts.head = resume_deadline.saturating_duration_since(Instant::now());
        let resumed = ("x-resume-request-id", self.call.request_id.clone());
        let after = ("last-event-id", self.last_id.to_string());
        for (name, value) in [resumed, after] {
            call.headers.push((name.to_owned(), value));
        }
        let answer = self.client.send(&call, &self.cancel)?;
        if answer.status == 200 && answer.is_event_stream() {
            return Ok(answer);
        }
        let detail = format!(
            "the target answered the resume request with status {}",
            answer.status
        );
        Err(Failure {
            kind: FailureKind::NotResumable,
            ..broken_stream(&detail)
        })
    }
}

const fn is_resumable(kind: FailureKind) -> bool {
    matches!(kind, FailureKind::CutBody | FailureKind::Silent)
}

const fn is_final(kind: FailureKind) -> bool {
    matches!(
        kind,
        // A process that has ended has no streams; a new one at its address would run the
        // request again.
        FailureKind::NotResumable
            | FailureKind::Refused
            | FailureKind::Cancelled
            | FailureKind::Deadline
            | FailureKind::WrongAnswer
    )
}

fn broken_stream(detail: &str) -> Failure {
    Failure {
        kind: FailureKind::CutBody,
        sent: true,
        reused: false,
        detail: detail.to_owned(),
    }
}
