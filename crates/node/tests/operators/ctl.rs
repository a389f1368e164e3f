//! Runs the real `bamboospurctl`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Mutex, OnceLock};

use serde_json::Value;

/// Exit codes of `bamboospurctl`.
pub const EXIT_SUCCESS: i32 = 0;
pub const EXIT_REFUSED: i32 = 3;
pub const EXIT_CONFLICT: i32 = 4;
pub const EXIT_DENIED: i32 = 5;
pub const EXIT_DIFFERENT: i32 = 8;

/// Output of all runs, which tests search for secrets.
static ALL_OUTPUT: Mutex<String> = Mutex::new(String::new());

/// Builds `bamboospurctl` next to the node's program and returns its path. A test run
/// of one package does not build the programs of other packages.
fn ctl_binary() -> &'static PathBuf {
    static BINARY: OnceLock<PathBuf> = OnceLock::new();
    BINARY.get_or_init(|| {
        let node = PathBuf::from(env!("CARGO_BIN_EXE_bamboospur"));
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--offline", "-p", "bamboospur-ctl"]);
        build.args(["--bin", "bamboospurctl"]);
        if node.components().any(|part| part.as_os_str() == "release") {
            build.arg("--release");
        }
        let status = build.status().expect("cargo runs");
        assert!(status.success(), "bamboospurctl is built");
        node.with_file_name("bamboospurctl")
    })
}

/// Runs `bamboospurctl` with one operator's token against one instance.
pub struct Ctl {
    server: SocketAddr,
    token: String,
}

/// Output and exit code of a run.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Ctl {
    pub fn new(server: SocketAddr, token: &str) -> Self {
        Self {
            server,
            token: token.to_owned(),
        }
    }

    pub fn run(&self, arguments: &[&str]) -> Run {
        let mut command = Command::new(ctl_binary());
        command.args(["--server", &self.server.to_string()]);
        command.args(["--json"]).args(arguments);
        command.env("BAMBOOSPUR_TOKEN", &self.token);
        let output = command.output().expect("the binary runs");
        let run = Run {
            code: output.status.code().expect("no signal"),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        };
        let mut printed = ALL_OUTPUT.lock().expect("printed");
        printed.push_str(&run.stdout);
        printed.push_str(&run.stderr);
        run
    }

    /// Runs a command and checks its exit code.
    pub fn expect_exit(&self, code: i32, arguments: &[&str]) -> Run {
        let run = self.run(arguments);
        assert_eq!(run.code, code, "{arguments:?}: {run:?}");
        run
    }

    /// Runs a command that must succeed and returns its JSON output.
    pub fn expect_success(&self, arguments: &[&str]) -> Value {
        self.expect_exit(EXIT_SUCCESS, arguments).json()
    }

    /// Returns the value at a path of the settings.
    pub fn value(&self, path: &str) -> Value {
        self.expect_success(&["get", path])["value"].clone()
    }
}

impl Run {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// Panics when any run so far printed a text.
pub fn assert_not_printed(secret: &str) {
    let printed = ALL_OUTPUT.lock().expect("printed");
    assert!(!printed.contains(secret), "a secret was printed: {printed}");
}
