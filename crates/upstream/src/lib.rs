//! Calls to targets.
//!
//! A [`Client`] sends one request on one connection and returns the head of
//! the answer. Every failure carries the proof that the router needs: whether
//! any byte went out, and whether the connection had been used before.
//! [`EventStream`] reads the events of an engine's answer and resumes a broken
//! stream where it stopped. No call is ever sent twice by this crate.

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
pub use state::Cancel;
pub use stream::EventStream;
pub use ureq::http::HeaderMap;
