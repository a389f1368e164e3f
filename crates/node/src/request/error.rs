//! The error that a caller gets instead of a target's answer.

use std::time::Duration;

use bamboospur_types::ResultCode;

/// Why a request ends without an answer of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Result code, which determines the HTTP status and the outcome.
    pub code: ResultCode,
    /// What is wrong and what to do.
    pub message: String,
    /// Pause asked of the caller; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
    /// Whether newer settings than those of this instance may allow the request.
    pub depends_on_settings: bool,
}

impl RequestError {
    /// Creates an error that the same request would get again.
    #[must_use]
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
            depends_on_settings: false,
        }
    }

    /// Creates an error that the same request would get again under the same settings.
    #[must_use]
    pub fn by_settings(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            depends_on_settings: true,
            ..Self::new(code, message)
        }
    }

    /// Creates an error that tells the caller when to retry.
    #[must_use]
    pub fn with_retry_after(code: ResultCode, message: impl Into<String>, after: Duration) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: Some(after),
            depends_on_settings: false,
        }
    }

    /// Creates the error for a main loop that gave no answer, before anything was
    /// sent to a target.
    #[must_use]
    pub fn no_main_loop() -> Self {
        let message = "the instance is not working properly; send the request to another one";
        Self::with_retry_after(ResultCode::ShuttingDown, message, Duration::from_secs(1))
    }
}
