//! A node that runs as a process of its own.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use super::{Caller, Target, TargetAction, eventually};

static NEXT_FOLDER: AtomicU64 = AtomicU64::new(0);

/// Settings of a node under test.
pub struct NodeBuilder {
    limits: BTreeMap<String, u64>,
    data: Option<PathBuf>,
    standins: (usize, usize),
    statsd: Option<SocketAddr>,
}

/// A running node; dropping it kills the process.
pub struct Node {
    child: Child,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    log: Log,
    /// Collects the log until the process ends.
    log_reader: Option<JoinHandle<()>>,
}

impl Node {
    pub fn builder() -> NodeBuilder {
        NodeBuilder {
            limits: BTreeMap::from([("drain_ms".to_owned(), 300)]),
            data: None,
            standins: (0, 0),
            statsd: None,
        }
    }

    pub fn start() -> Self {
        Self::builder().start()
    }

    /// Adds an engine that performs the given actions, one for each request, and then
    /// answers all requests.
    pub fn add_engine(&self, actions: &[TargetAction]) -> Target {
        self.add_engine_named("engine", actions)
    }

    pub fn add_engine_named(&self, name: &str, actions: &[TargetAction]) -> Target {
        self.add_target(name, "demo-chat", "engine", actions)
    }

    /// Adds a records service that performs the given actions, one for each request,
    /// and then answers all requests.
    pub fn add_records(&self, actions: &[TargetAction]) -> Target {
        self.add_records_named("records", actions)
    }

    pub fn add_records_named(&self, name: &str, actions: &[TargetAction]) -> Target {
        self.add_target(name, "records", "service", actions)
    }

    fn add_target(&self, name: &str, pool: &str, kind: &str, actions: &[TargetAction]) -> Target {
        let target = Target::start(name, pool, kind, actions, self.operators);
        eventually("the target joins", || {
            self.status().contains(&target.address())
        });
        target
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn caller(&self) -> Caller {
        Caller::new(self.callers)
    }

    /// Returns the body of `/status`.
    pub fn status(&self) -> String {
        let answer = Caller::new(self.operators).get("/status");
        answer.body
    }

    pub fn log(&self) -> String {
        self.log.lock().expect("log").join("\n")
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        let done = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(done.expect("kill runs").success());
    }

    /// Kills the process with SIGKILL.
    pub fn crash(mut self) {
        self.child.kill().expect("kill");
        self.child.wait().expect("wait");
    }

    /// Waits for the process to end, and for the rest of its log, and returns its exit code.
    pub fn wait_for_exit_code(&mut self) -> Option<i32> {
        let code = self.child.wait().expect("wait").code();
        if let Some(log_reader) = self.log_reader.take() {
            log_reader.join().expect("the log is read");
        }
        code
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl NodeBuilder {
    pub fn limit(mut self, key: &str, value: u64) -> Self {
        self.limits.insert(key.to_owned(), value);
        self
    }

    pub fn data_in(mut self, folder: &std::path::Path) -> Self {
        self.data = Some(folder.to_owned());
        self
    }

    pub fn standins(mut self, engines: usize, records: usize) -> Self {
        self.standins = (engines, records);
        self
    }

    pub fn metrics_to(mut self, statsd: SocketAddr) -> Self {
        self.statsd = Some(statsd);
        self
    }

    pub fn start(self) -> Node {
        let limits = self.limits.iter();
        let limits: Vec<String> = limits.map(|(k, v)| format!("{k} = {v}")).collect();
        let limits = limits.join("\n");
        let (engines, records) = self.standins;
        let text = format!(
            "[addresses]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
             [dev]\nengines = {engines}\nrecords = {records}\n[limits]\n{limits}\n"
        );
        let statsd = self
            .statsd
            .map(|to| format!("[metrics]\nstatsd = \"{to}\"\n"));
        let text = text + &statsd.unwrap_or_default();
        let file = test_folder().join("node.toml");
        fs::write(&file, text).expect("settings file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_bamboospur"));
        command.arg("--dev").arg("--config").arg(&file);
        if let Some(data) = &self.data {
            command.arg("--data").arg(data);
        }
        command.stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the node starts");
        let errors = child.stderr.take().expect("stderr");
        let (callers, operators, log, log_reader) = read_log(errors);
        let node = Node {
            child,
            callers,
            operators,
            log,
            log_reader: Some(log_reader),
        };
        eventually("the node is ready", || {
            node.caller().get("/readyz").status == 200
        });
        node
    }
}

/// Returns a new empty folder.
pub fn test_folder() -> PathBuf {
    test_folder_in(Path::new(env!("CARGO_TARGET_TMPDIR")))
}

/// Creates a folder for the files of one test.
pub fn test_folder_in(root: &Path) -> PathBuf {
    let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
    let name = format!("bamboospur-{}-{number}", std::process::id());
    let folder = root.join(name);
    fs::create_dir_all(&folder).expect("folder");
    folder
}

type Log = Arc<Mutex<Vec<String>>>;

/// Reads log lines until one names the addresses of the node, and collects all lines.
fn read_log(errors: impl Read + Send + 'static) -> (SocketAddr, SocketAddr, Log, JoinHandle<()>) {
    let mut lines = BufReader::new(errors).lines();
    let log = Log::default();
    let mut addresses = None;
    while addresses.is_none() {
        let line = lines.next().expect("the node logs its addresses");
        let line = line.expect("log line");
        let json: serde_json::Value = serde_json::from_str(&line).expect("JSON log line");
        let field = |name: &str| json[name].as_str().and_then(|text| text.parse().ok());
        addresses = field("callers").zip(field("operators"));
        log.lock().expect("log").push(line);
    }
    let (callers, operators) = addresses.expect("addresses");
    let collected = Arc::clone(&log);
    let log_reader = thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            collected.lock().expect("log").push(line);
        }
    });
    (callers, operators, log, log_reader)
}
