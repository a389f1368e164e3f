//! Errors of commands.

use bamboospur_control::operator::ResponseMeta;
use quick_error::quick_error;
use serde_json::json;

use crate::exit::Exit;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CtlError {
        /// The command line or a file is not valid.
        Usage(message: String) {
            display("{message}")
        }
        /// The token is missing, or has characters that are not allowed in a header.
        Token(message: String) {
            display("{message}")
        }
        /// No server answered, or none was able to execute the request.
        Unreachable(message: String) {
            display("{message}")
        }
        /// No server answered a change, which may have been accepted.
        OutcomeUnknown { change_id: String, last_error: String } {
            display("no server answered the change ({last_error}): it may have been accepted. Repeat the command with --change-id {change_id}, which makes it once at most")
        }
        /// A server refused the request.
        Refused(head: Box<ResponseMeta>) {
            display("{}", head.message.as_deref().unwrap_or("the server refused without a message"))
        }
        /// The answer of a server has another format than expected.
        InvalidResponse(message: String) {
            display("the answer cannot be read: {message}. Check that --server names the port for operators")
        }
    }
}

impl CtlError {
    fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Token(_) => Exit::Denied,
            Self::Unreachable(_) => Exit::Unreachable,
            Self::OutcomeUnknown { .. } => Exit::Doubt,
            Self::Refused(head) => Exit::from(head.result),
            Self::InvalidResponse(_) => Exit::Failed,
        }
    }

    /// Prints the error to standard error, with `json` also as JSON to standard output, and
    /// returns the exit code.
    pub fn print(&self, json: bool) -> Exit {
        if json {
            let head = match self {
                Self::Refused(head) => json!(head),
                other => json!({ "message": other.to_string() }),
            };
            println!("{head}");
        }
        eprintln!("bamboospurctl: {self}");
        self.exit()
    }
}
