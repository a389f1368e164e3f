//! HTTP client of the measurement.

use std::net::SocketAddr;
use std::time::Duration;

use bamboospur_node::dev::{MODEL, TEAM_KEY};
use serde_json::json;
use ureq::Agent;

/// Longest time of one request.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Returns an agent with its own connection pool.
pub fn agent() -> Agent {
    Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .max_redirects(0)
        .build()
        .into()
}

/// Sends a chat request that asks for no tokens and checks the status of its answer.
pub fn send_chat(agent: &Agent, address: SocketAddr) -> Result<(), String> {
    let body = json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": "status of certificate 7"}],
        "max_tokens": 0,
    });
    let mut response = agent
        .post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {TEAM_KEY}"))
        .header("content-type", "application/json")
        .send(body.to_string())
        .map_err(|error| error.to_string())?;
    let text = response.body_mut().read_to_string();
    let text = text.map_err(|error| error.to_string())?;
    if response.status().as_u16() == 200 {
        return Ok(());
    }
    Err(format!("status {}: {text}", response.status()))
}

/// Returns the value at a share of a sorted list.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "lists of samples are far below 2^52 entries"
    )]
    let index = (last as f64 * share).round() as usize;
    sorted.get(index).copied().unwrap_or(0.0)
}
