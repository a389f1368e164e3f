//! Operator of the case review/11: sends configurations to a control instance whose process is
//! killed while an order is on its way, and reads back what was acknowledged.
//!
//! Usage: lost_ack PROGRAM FOLDER RECORD TROUBLE(0|1)
//!
//! Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::mpsc::{Receiver, channel};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const OPERATOR_PORT: u16 = 9101;
const CALLER_PORT: u16 = 9102;
const READY_PORT: u16 = 9103;
const LINK_PORT: u16 = 9110;
const LAST_PORT: u16 = 9125;
const METRICS_PORT: u16 = 9465;
const ROUTER_METRICS_PORT: u16 = 9464;

/// End of the run, below the 120 s of a script.
const RUN_TIME: Duration = Duration::from_secs(100);
/// An operator moves on after a second without a response, and later for large bodies.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Routes that the first order of an attempt adds, as `big_config` does.
const ADDED_ROUTES: usize = 350;
/// How long the second control instance stands still, from the kill of the first one on.
const STANDSTILL: Duration = Duration::from_millis(162);

const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    safe fn kill(process: i32, signal: i32) -> i32;
}

struct Deployment {
    program: PathBuf,
    folder: PathBuf,
    network: u8,
    /// Control instances 1 to 3, then routers.
    children: Vec<Option<Child>>,
    record: File,
    started: Instant,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            signal(child, SIGCONT);
            let _ended = child.kill();
            let _reaped = child.wait();
        }
    }
}

fn signal(child: &Child, number: i32) {
    kill(i32::try_from(child.id()).expect("a process id"), number);
}

impl Deployment {
    fn note(&mut self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        writeln!(self.record, "{at:8.3} {text}").expect("the record is written");
    }

    fn ip(&self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 0, u8::try_from(index + 1).expect("few"))
    }

    fn name(index: usize) -> String {
        if index < 3 {
            format!("core-{}", index + 1)
        } else {
            format!("edge-{}", index - 2)
        }
    }

    fn settings(&self, index: usize, first_start: bool) -> String {
        let ip = self.ip(index);
        let (name, zone) = (Self::name(index), format!("zone-{}", index % 3 + 1));
        let is_control = index < 3;
        let (role, class, serves) = if is_control {
            ("control", "core", "ctrl")
        } else {
            ("router", "edge", "edge")
        };
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"{}:{OPERATOR_PORT}\"", self.ip(seed)))
            .collect();
        let (data, listen) = if is_control {
            let data = self.folder.join(format!("{name}.data"));
            (
                format!("dataDir = \"{}\"\n", data.display()),
                format!("controlPlane = \"{ip}:{OPERATOR_PORT}\""),
            )
        } else {
            (
                String::new(),
                format!("frontend = \"{ip}:{CALLER_PORT}\"\nreadiness = \"{ip}:{READY_PORT}\""),
            )
        };
        let (memory_mb, disk_mb, link_mbps) = if is_control {
            (256, 128, 6)
        } else {
            (260, 0, 1_000)
        };
        format!(
            "nodeName = \"{name}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\n\
             serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"region\"\n\
             portRange = [{LINK_PORT},{LAST_PORT}]\nseeds = [{}]\nbootstrap = {first_start}\n\
             inTolerance = {is_control}\ndiscovery = \"register\"\nentry = \"vip\"\n\
             heartbeatMs = 1200\nconfigMode = \"highest\"\n{data}\
             [zones]\nzone-1 = \"region\"\nzone-2 = \"region\"\nzone-3 = \"region\"\n\
             [listen]\n{listen}\n\
             [limits]\ncpuQuota = 0.25\ncores = 1\nmemoryMb = {memory_mb}\nmaxFds = 4096\n\
             linkMbps = {link_mbps}.0\ndiskMb = {disk_mb}\n\
             [faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\n\
             catchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n\
             rollbackSlackMs = 250\nmaxSkewMs = 5000\nfailClosed = true\nrevokeMs = 5000\n\
             retryRatio = 0.2\nretryWindowS = 10\nretrySlack = 54\nrecoverS = 12\n",
            seeds.join(","),
        )
    }

    /// Starts a process with the command of the deploy file.
    fn start(&mut self, index: usize, first_start: bool) -> io::Result<()> {
        let name = Self::name(index);
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, self.settings(index, first_start))?;
        if index < 3 {
            fs::create_dir_all(self.folder.join(format!("{name}.data")))?;
        }
        let (role, port) = if index < 3 {
            ("control", METRICS_PORT)
        } else {
            ("router", ROUTER_METRICS_PORT)
        };
        let log = self.folder.join(format!("{name}.log"));
        let log = OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new(&self.program)
            .args([role, "--metrics", &port.to_string()])
            .env_clear()
            .env("BAMBOOSPUR_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        if self.children.len() <= index {
            self.children.resize_with(index + 1, || None);
        }
        self.children[index] = Some(child);
        Ok(())
    }

    fn signal(&self, index: usize, number: i32) {
        signal(self.children[index].as_ref().expect("a process"), number);
    }

    /// Ends a process and waits for its end.
    fn end(&mut self, index: usize, number: i32) {
        let mut child = self.children[index].take().expect("a process");
        if number == SIGTERM {
            signal(&child, SIGTERM);
        } else {
            child.kill().expect("it is killed");
        }
        child.wait().expect("it ends");
    }

    /// Returns the value of a gauge of a control instance.
    fn gauge(&self, index: usize, name: &str) -> Option<u64> {
        let address = SocketAddr::new(self.ip(index).into(), METRICS_PORT);
        let (_, text) = call(address, "GET", "/metrics", "", Duration::from_millis(300))?;
        text.lines().find_map(|line| {
            let (key, value) = line.split_once(' ')?;
            key.ends_with(name).then(|| value.trim().parse().ok())?
        })
    }

    /// Returns the control instance that leads, once all three run and name one.
    fn leader(&self) -> Option<usize> {
        let leaders: Vec<usize> = (0..3)
            .filter(|&index| self.gauge(index, "_leads") == Some(1))
            .collect();
        match leaders.as_slice() {
            &[leader] => Some(leader),
            _ => None,
        }
    }

    fn wait_for_leader(&self) -> Option<usize> {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if let Some(leader) = self.leader() {
                return Some(leader);
            }
            sleep(Duration::from_millis(50));
        }
        None
    }

    fn operator_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(index).into(), OPERATOR_PORT)
    }

    /// Sends an order to a control instance on a thread.
    fn put(&self, index: usize, document: String) -> Receiver<Option<u16>> {
        let (answer, answered) = channel();
        let address = self.operator_address(index);
        thread::spawn(move || {
            let reply = call(address, "PUT", "/config", &document, CALL_TIMEOUT);
            let _sent = answer.send(reply.map(|(status, _)| status));
        });
        answered
    }

    /// Sends an order to the leader until it is acknowledged.
    fn put_surely(&mut self, version: u64) -> bool {
        for _ in 0..60 {
            if let Some(leader) = self.leader() {
                let address = self.operator_address(leader);
                let reply = call(address, "PUT", "/config", &config(version, 0), CALL_TIMEOUT);
                if reply.is_some_and(|(status, _)| status == 200) {
                    self.note(&format!(
                        "version {version}: acknowledged by {}",
                        Self::name(leader)
                    ));
                    return true;
                }
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns the version that a control instance reads back, asking each of them in turn.
    fn read_version(&mut self) -> Option<u64> {
        for attempt in 0..60 {
            let index = attempt % 3;
            let address = self.operator_address(index);
            if let Some((200, text)) = call(address, "GET", "/config", "", CALL_TIMEOUT) {
                let digits = text.split_once("\"version\":")?.1;
                let end = digits
                    .find(|c: char| !c.is_ascii_digit())
                    .unwrap_or(digits.len());
                let version = digits[..end].parse().ok();
                self.note(&format!(
                    "{} reads back version {version:?}",
                    Self::name(index)
                ));
                return version;
            }
            sleep(Duration::from_millis(100));
        }
        None
    }
}

/// Sends a call on a new connection. `None` without a complete answer.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    stream
        .write_all(request(method, path, body).as_bytes())
        .ok()?;
    let mut text = Vec::new();
    stream.read_to_end(&mut text).ok()?;
    let text = String::from_utf8(text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}

fn request(method: &str, path: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: ctrl\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a configuration with a first route and `added` further ones.
fn config(version: u64, added: usize) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"records.example\",\"pathPrefix\":\"{prefix}\",\
             \"type\":\"idempotent\",\"timeoutMs\":1000,\"sloMs\":100,\"priority\":1,\
             \"service\":\"records\",\"maxAttempts\":2,\"public\":true,\"sticky\":false,\
             \"resumable\":false,\"itlTargetMs\":0}}"
        )
    };
    let mut routes = vec![route("first", "/first/")];
    for index in 0..added {
        // Names and paths without a pattern, as those of the platform.
        let number = mix(version << 20 | index as u64);
        routes.push(route(
            &format!("r-{number:x}"),
            &format!("/{:x}/", mix(number)),
        ));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"records\",\
         \"healthPath\":\"/healthz\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

fn is_free(network: u8) -> bool {
    let ports = [
        OPERATOR_PORT,
        CALLER_PORT,
        READY_PORT,
        LINK_PORT,
        LINK_PORT + 1,
    ];
    (1..=5).all(|host| {
        let ip = Ipv4Addr::new(127, network, 0, host);
        ports
            .into_iter()
            .all(|port| TcpListener::bind((ip, port)).is_ok())
    })
}

/// What one attempt showed.
enum Shown {
    /// An acknowledged version is not read back.
    Lost,
    /// The first order did not reach the leader before the kill.
    TooEarly,
    /// The first order was accepted before the kill.
    TooLate,
    /// The rule held.
    Held,
    /// The deployment did not come back.
    Nothing,
}

/// Sends an order to `first`, kills that process meanwhile and starts it again, and sends the
/// next order to it. `second` stands still from before the first order on. Without trouble both
/// orders are sent, and nothing else happens.
fn attempt(
    deployment: &mut Deployment,
    version: u64,
    kill_after: Duration,
    trouble: bool,
) -> Option<Shown> {
    let leader = deployment.wait_for_leader()?;
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);
    // A planned restart in calm: the next order is the first one of this process.
    deployment.end(first, SIGTERM);
    deployment.start(first, false).ok()?;
    sleep(Duration::from_millis(1_200));
    if deployment.wait_for_leader()? != leader {
        return Some(Shown::Nothing);
    }
    let (name, other) = (Deployment::name(first), Deployment::name(second));
    let text = format!("leader {}; orders go to {name}", Deployment::name(leader));
    deployment.note(&text);
    let large = request("PUT", "/config", &config(version, ADDED_ROUTES));
    if trouble {
        deployment.signal(second, SIGSTOP);
        deployment.note(&format!("{other} stands still"));
    }
    let mut stream = TcpStream::connect(deployment.operator_address(first)).ok()?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
    stream.write_all(large.as_bytes()).ok()?;
    let sent_at = Instant::now();
    deployment.note(&format!("version {version}: sent to {name}"));
    if !trouble {
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer);
        let ok = read.is_ok() && answer.starts_with(b"HTTP/1.1 200");
        deployment.note(&format!("version {version}: acknowledged: {ok}"));
    }
    let mut killed_at = sent_at;
    if trouble {
        while sent_at.elapsed() < kill_after {
            std::hint::spin_loop();
        }
        deployment.end(first, 9);
        killed_at = Instant::now();
        deployment.note(&format!(
            "{name} killed {:.1} ms later",
            kill_after.as_secs_f64() * 1e3
        ));
        deployment.start(first, false).ok()?;
        while TcpStream::connect(deployment.operator_address(first)).is_err() {
            sleep(Duration::from_millis(1));
        }
    }
    let next = version + 1;
    let answered = deployment.put(first, config(next, 0));
    deployment.note(&format!("version {next}: sent to {name}"));
    let mut was_accepted = false;
    if trouble {
        let until = killed_at + STANDSTILL;
        sleep((until - Duration::from_millis(25)).saturating_duration_since(Instant::now()));
        was_accepted = deployment.gauge(leader, "_config_version") >= Some(version);
        sleep(until.saturating_duration_since(Instant::now()));
        deployment.signal(second, SIGCONT);
        deployment.note(&format!("{other} goes on"));
    }
    let status = answered.recv().ok().flatten();
    deployment.note(&format!("version {next}: answered {status:?} by {name}"));
    // Any change is in force after 2 s.
    sleep(Duration::from_millis(2_200));
    let read = deployment.read_version()?;
    Some(if status == Some(200) && read < next {
        deployment.note(&format!(
            "LOST: version {next} was acknowledged, and {read} is read back"
        ));
        Shown::Lost
    } else if was_accepted {
        Shown::TooLate
    } else if read < version {
        Shown::TooEarly
    } else {
        Shown::Held
    })
}

fn run(deployment: &mut Deployment, trouble: bool) -> Option<bool> {
    for index in 0..5 {
        deployment.start(index, true).ok()?;
    }
    deployment.wait_for_leader()?;
    if !deployment.put_surely(1) {
        return None;
    }
    let mut version = 2;
    // Between the arrival of the order at the leader and its acceptance.
    let (mut low, mut high) = (Duration::from_millis(1), Duration::from_millis(12));
    let mut complete = 0;
    let seed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |now| now.as_nanos() as u64);
    while deployment.started.elapsed() + Duration::from_secs(8) < RUN_TIME {
        let part = (mix(seed ^ version) >> 11) as f64 / (1_u64 << 53) as f64;
        let kill_after = low + (high - low).mul_f64(0.25 + 0.5 * part);
        match attempt(deployment, version, kill_after, trouble)? {
            Shown::Lost => return Some(true),
            Shown::TooEarly if high - low > Duration::from_millis(2) => low += (high - low) / 4,
            Shown::TooLate if high - low > Duration::from_millis(2) => high -= (high - low) / 4,
            // The bounds vary a little from one attempt to the next.
            Shown::TooEarly => high += Duration::from_millis(2),
            Shown::TooLate => low = low.saturating_sub(Duration::from_millis(1)),
            Shown::Held | Shown::Nothing => {}
        }
        complete += 1;
        version += 2;
    }
    deployment.note(&format!(
        "{complete} attempts; no acknowledged version was lost"
    ));
    (complete > 0).then_some(false)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, program, folder, record, trouble] = arguments.as_slice() else {
        eprintln!("usage: lost_ack PROGRAM FOLDER RECORD TROUBLE");
        exit(2);
    };
    let Ok(record) = File::create(record) else {
        exit(2)
    };
    let first = u8::try_from(std::process::id() % 100).unwrap_or(0);
    let network = (0..100)
        .map(|step| 100 + (first + step) % 100)
        .find(|&n| is_free(n));
    let Some(network) = network else { exit(2) };
    let mut deployment = Deployment {
        program: Path::new(program).to_owned(),
        folder: Path::new(folder).to_owned(),
        network,
        children: Vec::new(),
        record,
        started: Instant::now(),
    };
    let shown = run(&mut deployment, trouble == "1");
    drop(deployment);
    exit(match shown {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    });
}
