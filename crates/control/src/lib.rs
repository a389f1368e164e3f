//! Replicated control state: settings, claims and orders.
//!
//! [`ControlState::apply`] is deterministic: replicas that apply the same log
//! entries, with the timestamps stored in them, reach the same state. [`Member`]
//! combines a replica of the log with the state and the clients that wait for
//! answers. Both are state machines that use no sockets, threads or clocks.
//!
//! [`operator`] holds the JSON types of the operator API.

mod codec;
mod command;
mod desired;
mod member;
pub mod operator;
mod snapshot;
mod state;
mod wire;

pub use codec::{
    CodecError, decode_command, decode_diff, decode_entry, decode_follower, decode_request,
    decode_response, encode_command, encode_diff, encode_entry, encode_follower, encode_request,
    encode_response,
};
pub use command::{ClaimCommand, Command, Entry, ProposalId, Reply, claim_key, key_digest};
pub use desired::{desired_state, order_limits};
pub use member::{
    Member, MemberError, MemberInput, MemberOutput, MemberSettings, MemberStatus, Request,
    Response, RouterReport,
};
pub use state::{ControlState, Violations};
