//! HTTP client for calls to targets.
//!
//! A [`Client`] sends one request on one connection and returns when the response
//! head has arrived. Every [`Failure`] tells what the router needs to decide on a
//! retry: whether any byte was sent, and whether the connection had been used before.
//! [`EventStream`] reads the events of an engine's response and resumes a broken
//! stream after the last event. This crate never sends a call twice.

mod answer;
mod call;
mod client;
mod current;
mod event;
mod failure;
mod state;
mod stream;
mod transport;

pub use answer::{Answer, AnswerBody};
pub use call::{Call, ReadTimeouts, RequestIdEcho};
pub use client::{Client, ClientSettings};
pub use event::{Event, EventReader};
pub use failure::{Failure, FailureKind};
pub use state::CancelHandle;
pub use stream::EventStream;
pub use ureq::http::HeaderMap;
