//! Status codes of HTTP responses.

use std::ops::RangeInclusive;

/// Status codes of HTTP (RFC 9110, section 15).
const STATUSES: RangeInclusive<u16> = 100..=599;
/// Status codes of informational responses.
const INTERIM_STATUSES: RangeInclusive<u16> = 100..=199;
/// Status of a response after which the connection speaks another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

/// What a status code says about the response that has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseStatus {
    /// The response is informational: the final one follows.
    Interim,
    /// The response is the answer to the request.
    Final,
    /// The bytes are no response: HTTP has no such status, or it switches to a protocol that
    /// was not asked for.
    Invalid,
}

impl From<u16> for ResponseStatus {
    fn from(code: u16) -> Self {
        if code == SWITCHING_PROTOCOLS || !STATUSES.contains(&code) {
            Self::Invalid
        } else if INTERIM_STATUSES.contains(&code) {
            Self::Interim
        } else {
            Self::Final
        }
    }
}
