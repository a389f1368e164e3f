//! Options that the command line is converted to.

use std::time::Duration;

use bamboospur_control::operator::MemberAction;

/// Parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Addresses of instances, tried in turn.
    pub servers: Vec<String>,
    /// File with the operator's token; when absent, the environment variable is used.
    pub token_file: Option<String>,
    /// Whether the output is JSON.
    pub json: bool,
    /// Time limit for trying the servers.
    pub timeout: Duration,
    /// Command to run.
    pub command: Command,
}

/// Command and its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Shows a value.
    Get {
        /// Path of the value; empty for all settings.
        path: String,
    },
    /// Makes one change.
    Change(Change),
    /// Shows what `apply` would change.
    Diff {
        /// TOML file with branches.
        file: String,
    },
    /// Replaces the branches that differ from a file.
    Apply {
        /// TOML file with branches.
        file: String,
        /// How the changes are sent.
        send_options: SendOptions,
    },
    /// Shows branches in the form that `apply` reads.
    Export {
        /// Path, empty for the whole tree.
        path: String,
        /// Whether the hashes of keys and tokens are left out.
        redacted: bool,
    },
    /// Shows the audit trail.
    History {
        /// Start of the paths to show.
        path: Option<String>,
        /// Newest revision to show.
        before: Option<u64>,
        /// Maximum number of entries.
        limit: usize,
    },
    /// Shows the state of an instance and of the control group.
    Status,
    /// Shows the members of the control group.
    Members,
    /// Adds, promotes or removes a member of the control group.
    ChangeMember {
        /// Whether the member is added, promoted or removed.
        action: MemberAction,
        /// Name of the instance.
        instance: String,
        /// Identity of the data folder of an instance to add.
        disk: Option<String>,
    },
    /// Drains a target or an instance.
    Drain {
        /// Name of the target or the instance.
        name: String,
    },
}

/// One change of a value or a branch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Path of the value or branch.
    pub path: String,
    /// Operation at the path.
    pub edit: Edit,
    /// Version of the branch that the change is based on; when absent, the current version
    /// is read from a server.
    pub base_version: Option<u64>,
    /// How the change is sent.
    pub send_options: SendOptions,
}

/// Operation at a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Sets a TOML value; text that is not valid TOML becomes a text value.
    Set(String),
    /// Sets the hash of the secret in the file at this path.
    SetHash(String),
    /// Removes the value.
    Unset,
    /// Restores the branch as it was at this revision.
    Rollback(u64),
}

/// How a change is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendOptions {
    /// Id of the change; when absent, a random one is used.
    pub change_id: Option<String>,
    /// Maximum time to wait until the change is in force; when absent, the command does not
    /// wait.
    pub wait: Option<Duration>,
}
