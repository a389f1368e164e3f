//! Wire types of commands, requests and answers, encoded by `postcard`.

mod answer;
mod claim;
mod command;
mod engine;
mod request;
mod value;

pub(crate) use answer::WireResponse;
pub(crate) use command::{WireCommand, WireEntry};
pub(crate) use request::WireRequest;
