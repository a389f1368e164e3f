//! Command line of the node.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use bamboospur_fleet::control::{ControlSettings, FanoutSettings};

/// Router between callers and targets.
///
/// Exit codes: 0 after a graceful end, 1 for a wrong command line or a failed
/// start, 2 for a settings file that is not valid.
#[derive(Debug, FromArgs)]
#[argh(help_triggers("-h", "--help"))]
pub struct Args {
    /// start a development node with stand-in targets and team key "demo"
    #[argh(switch)]
    pub dev: bool,

    /// settings file
    #[argh(option)]
    pub config: Option<PathBuf>,

    /// check the settings file, change nothing and exit
    #[argh(switch)]
    pub check: bool,

    /// address for callers, instead of the one in the settings
    #[argh(option)]
    pub callers: Option<SocketAddr>,

    /// address for operators and targets, instead of the one in the settings
    #[argh(option)]
    pub operators: Option<SocketAddr>,

    /// folder for durable state, instead of the one in the settings
    #[argh(option)]
    pub data: Option<PathBuf>,

    /// print the version and exit
    #[argh(switch)]
    pub version: bool,

    /// role in a deployment, instead of a node of its own
    #[argh(subcommand)]
    pub role: Option<Role>,
}

/// Role of a process in a deployment. An environment variable names its settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand)]
pub enum Role {
    /// Serves callers and sends their requests to targets.
    Router(RouterRole),
    /// Keeps the configuration and receives the targets' reports.
    Control(ControlRole),
}

/// Serve callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "router")]
pub struct RouterRole {
    /// port for counters as text, at /metrics
    #[argh(option)]
    pub metrics: Option<u16>,
}

/// Keep the configuration and hear the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "control")]
pub struct ControlRole {
    /// port for counters as text, at /metrics
    #[argh(option)]
    pub metrics: Option<u16>,

    /// announcements, summed over routers, up to which each control instance tells
    /// every router of every target itself
    #[argh(option, default = "FanoutSettings::default().direct_entries")]
    pub direct_entries: usize,

    /// routers of a data centre that pass news on in a larger deployment
    #[argh(option, default = "FanoutSettings::default().relays")]
    pub relays: usize,

    /// targets up to which the control instances take all reports themselves
    #[argh(option, default = "FanoutSettings::default().own_targets")]
    pub own_targets: usize,
}

impl From<ControlRole> for ControlSettings {
    fn from(role: ControlRole) -> Self {
        Self {
            metrics_port: role.metrics,
            fanout: FanoutSettings {
                direct_entries: role.direct_entries,
                relays: role.relays,
                own_targets: role.own_targets,
            },
        }
    }
}
