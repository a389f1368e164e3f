//! Waits until a revision is in force on all live routers.

use std::fmt::Write;
use std::thread;
use std::time::{Duration, Instant};

use bamboospur_control::operator::{InForceResponse, paths};
use bamboospur_types::ResultCode;
use serde_json::{Value, json};

use crate::client::Client;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::output::Report;

/// Time between two requests for the state of the revision.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Polls until the revision is in force on all live routers or `limit` has passed. Then
/// adds to the report which routers lag or are cut off.
pub fn wait(
    client: &Client,
    revision: u64,
    limit: Duration,
    mut report: Report,
) -> Result<Report, CtlError> {
    let deadline = Instant::now() + limit;
    let text = revision.to_string();
    loop {
        let answer = client.get(paths::IN_FORCE, &[("revision", &text)])?;
        let done = answer.head.result == ResultCode::Ok;
        if !done && answer.head.result != ResultCode::NotInForceYet {
            return Err(CtlError::Refused(Box::new(answer.head)));
        }
        if done || Instant::now() >= deadline {
            let state: InForceResponse = answer.parse()?;
            add_state(&mut report, &state, done);
            return Ok(report);
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn add_state(report: &mut Report, state: &InForceResponse, done: bool) {
    let InForceResponse {
        revision,
        live,
        in_force,
        ..
    } = state;
    let text = &mut report.text;
    if !text.is_empty() && !text.ends_with('\n') {
        text.push('\n');
    }
    let _ = writeln!(
        text,
        "revision {revision} is in force on {in_force} of {live} live routers"
    );
    for router in &state.lagging {
        let state = if router.cut_off { "is cut off" } else { "lags" };
        let (name, revision, ms) = (&router.instance, router.revision, router.silent_ms);
        let _ = writeln!(
            text,
            "{name} {state}: at revision {revision}, last heard {ms} ms ago"
        );
    }
    if !done {
        report.exit = Exit::NotInForce;
    }
    if let Value::Object(fields) = &mut report.json {
        fields.insert("in_force".to_owned(), json!(state));
    }
}
