//! Measures the memory of control state, each part in its own process.

use std::fs;
use std::process::Command as Process;
use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use bamboospur_claims::{Attempt, ClaimKey, ClaimRequest, ClaimSettings, Claims, StoredAnswer};
use bamboospur_control::{Command, ControlState, decode_diff, encode_diff};
use bamboospur_limits::{Amount, LeaseHolder, LeaseOwner, LimitsSettings};
use bamboospur_membership::{InstanceRecord, Membership, MembershipInput, MembershipSettings};
use bamboospur_placement::{
    Decision, PlacementOutput, PlacementRequest, PlacementSettings, Placer, TargetView,
};
use bamboospur_settings::Follower;
use bamboospur_types::{Offer, TargetKind, TargetRecord, TargetState, mix64};

use super::sample::{TEAM_COUNT, all_changes, team_name};

const PAGE_BYTES: u64 = 4096;
const CLAIM_COUNT: u64 = 1_000_000;
const ROUTER_COUNT: u64 = 52;
const TARGET_COUNT: u64 = 338;
const CHAT_COUNT: u64 = 100_000;
/// Teams with requests in progress on a router at the same time. The most in
/// `cargo measure limits` at the large size is 150.
const ACTIVE_TEAM_COUNT: u64 = 300;
const OFFER_ID: u64 = 7;

/// Parts whose memory is measured.
///
/// `tree` includes the memory that the allocator keeps after decoding, as on a
/// router; `second-tree` mostly reuses that memory.
pub const PARTS: [&str; 7] = [
    "tree",
    "second-tree",
    "placement",
    "limits",
    "membership",
    "router",
    "claims",
];

/// Measures one part in a child process and returns its memory in bytes.
pub fn measure_part(part: &str) -> Result<u64, String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let output = Process::new(program)
        .args(["control", "role-memory", part])
        .output()
        .map_err(|error| error.to_string())?;
    let text = String::from_utf8_lossy(&output.stdout);
    let number = text.trim().parse();
    number.map_err(|_| format!("{part}: {}", String::from_utf8_lossy(&output.stderr)))
}

/// Builds one part and prints the growth of resident memory in bytes. This is the
/// child process of [`measure_part`].
pub fn run_role(part: Option<&str>) -> Result<(), String> {
    let bytes = match part {
        Some("tree") => measure_growth(&encode_tree_in_child()?, |bytes| build_follower(bytes)),
        Some("second-tree") => {
            let bytes = encode_tree_in_child()?;
            let first = build_follower(&bytes)?;
            let second = measure_growth(&bytes, |bytes| build_follower(bytes));
            drop(first);
            second
        }
        Some("placement") => measure_growth(&(), |()| {
            let placer = build_placer();
            eprintln!("chats remembered: {}", placer.remembered_chats());
            Ok(placer)
        }),
        Some("limits") => measure_growth(&(), |()| Ok(build_limits())),
        Some("membership") => measure_growth(&(), |()| build_membership()),
        Some("router") => measure_growth(&encode_tree_in_child()?, |bytes| {
            Ok((
                build_follower(bytes)?,
                build_placer(),
                build_limits(),
                build_membership()?,
            ))
        }),
        Some("claims") => measure_growth(&(), |()| Ok(build_claims())),
        _ => Err(format!("name one of {PARTS:?}")),
    };
    println!("{}", bytes?);
    Ok(())
}

/// Returns the growth of resident memory in bytes while `build` runs and its
/// result is alive.
fn measure_growth<I, T>(
    input: &I,
    build: impl FnOnce(&I) -> Result<T, String>,
) -> Result<u64, String> {
    let before = resident_bytes();
    let part = build(input)?;
    let growth_bytes = resident_bytes().saturating_sub(before);
    drop(part);
    Ok(growth_bytes)
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

/// Returns the encoded settings tree. A child process builds it and passes it in a
/// file: memory freed by the builder would be reused by the measured part.
fn encode_tree_in_child() -> Result<Vec<u8>, String> {
    let path = std::env::temp_dir().join(format!("bamboospur-tree-{}", std::process::id()));
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let status = Process::new(program)
        .args(["control", "role-tree"])
        .arg(&path)
        .status()
        .map_err(|error| error.to_string())?;
    if !status.success() {
        return Err("the child process did not write the tree".to_owned());
    }
    let bytes = fs::read(&path).map_err(|error| error.to_string())?;
    drop(fs::remove_file(&path));
    Ok(bytes)
}

/// Builds the settings tree of all teams and writes it, encoded, to a file.
pub fn write_tree(path: Option<&str>) -> Result<(), String> {
    let path = path.ok_or("role-tree: the path of the output file is missing")?;
    let mut state = ControlState::new(ClaimSettings::default());
    for (index, change) in (1..).zip(all_changes()?) {
        state.apply(index, UNIX_EPOCH, &Command::Change(change));
    }
    let diff = state.settings().changes_since(0);
    if diff.to != TEAM_COUNT + 1 {
        return Err(format!("only {} changes were accepted", diff.to));
    }
    let bytes = encode_diff(&diff).map_err(|error| error.to_string())?;
    fs::write(path, bytes).map_err(|error| error.to_string())
}

fn build_follower(bytes: &[u8]) -> Result<Follower, String> {
    let diff = decode_diff(bytes).map_err(|error| error.to_string())?;
    let mut follower = Follower::default();
    follower.apply(&diff);
    Ok(follower)
}

/// Returns a placer that has placed many chats. Only the owner of a chat's target
/// remembers the chat, so the table of the placer is a tenth full.
fn build_placer() -> Placer {
    let mut now = Instant::now();
    let mut placer = Placer::new(PlacementSettings::default(), mix64(1), 1, 1);
    for index in 0..TARGET_COUNT {
        let view = TargetView {
            id: mix64(1_000 + index),
            incarnation: 1,
            data_centre: 0,
            same_data_centre: true,
            offers: vec![OFFER_ID],
            capacity_tokens: 400_000,
            capacity_requests: 64,
            report: None,
            state: TargetState::Ready,
            damped: false,
        };
        placer.set_target(view, now);
    }
    let routers: Vec<u64> = (1..=ROUTER_COUNT).map(mix64).collect();
    placer.set_routers(&routers, now);
    for chat in 0..CHAT_COUNT {
        let request = PlacementRequest {
            team: chat % TEAM_COUNT,
            chat: mix64(chat),
            offer: Some(OFFER_ID),
            work_tokens: 1_000,
            prefix_tokens: 500,
            excluded: &[],
            hint: None,
            priority: 0,
        };
        if let Decision::Send { ticket, .. } = placer.place(&request, now) {
            placer.finish(ticket, now);
        }
        // No owner answers here, so the placer decides from load reports after the
        // time-out.
        now += Duration::from_millis(5);
        for output in placer.tick(now) {
            if let PlacementOutput::Placed { ticket, .. } = output {
                placer.finish(ticket, now);
            }
        }
    }
    placer
}

/// Returns a lease holder and a lease owner with the shares of all teams and the
/// leases of the active teams.
fn build_limits() -> (LeaseHolder, LeaseOwner) {
    let now = Instant::now();
    let settings = LimitsSettings::default();
    let own = mix64(1);
    let routers: Vec<u64> = (1..=ROUTER_COUNT).map(mix64).collect();
    let mut holder = LeaseHolder::new(settings.clone(), own, 1, now);
    let mut owner = LeaseOwner::new(settings, own, 1, now);
    holder.set_routers(&routers, now);
    owner.set_routers(&routers, now);
    let share = Amount {
        requests: 16,
        work: 200_000,
        requests_per_minute: 1_000,
        work_per_minute: 1_000_000,
    };
    for team in 0..TEAM_COUNT {
        let id = bamboospur_types::stable_id(&team_name(team));
        holder.set_team(id, share);
        owner.set_team(id, share);
    }
    for team in 0..ACTIVE_TEAM_COUNT {
        let id = bamboospur_types::stable_id(&team_name(team));
        // The request is never finished, so the team stays active.
        let _ = holder.admit(id, 1_000, 5, now);
    }
    (holder, owner)
}

/// Returns the membership state of an instance that knows all targets of a data
/// centre.
fn build_membership() -> Result<Membership, String> {
    let now = Instant::now();
    let own = InstanceRecord {
        name: "router-0".to_owned(),
        incarnation: 1,
        address: ([127, 0, 0, 1], 10_000).into(),
        data_centre: "dc".to_owned(),
    };
    let mut membership = Membership::new(MembershipSettings::default(), &own, 1);
    let offer: Offer = "model-large@2026-05+adapter"
        .parse()
        .map_err(|error| format!("{error}"))?;
    for target in 0..TARGET_COUNT {
        let port = u16::try_from(20_000 + target).unwrap_or(u16::MAX);
        let record = TargetRecord {
            name: format!("engine-{target:04}"),
            incarnation: 1,
            address: ([10, 0, 0, 1], port).into(),
            data_centre: "dc".to_owned(),
            pool: format!("pool-{}", target % 9),
            kind: TargetKind::Engine,
            offers: vec![offer.clone()],
            capacity_tokens: 400_000,
            capacity_requests: 64,
            checks_fencing: false,
        };
        membership.handle(MembershipInput::Announce(record), now);
    }
    Ok(membership)
}

/// Returns a table of a million settled claims. The table limits the memory of the
/// stored answers.
fn build_claims() -> Claims {
    let now = UNIX_EPOCH + Duration::from_hours(500_000);
    let mut claims = Claims::new(ClaimSettings {
        max_claims: usize::try_from(CLAIM_COUNT).unwrap_or(usize::MAX),
        ..ClaimSettings::default()
    });
    for number in 0..CLAIM_COUNT {
        let mut key = [0; 16];
        key[..8].copy_from_slice(&mix64(number).to_le_bytes());
        key[8..].copy_from_slice(&mix64(!number).to_le_bytes());
        let request = ClaimRequest {
            key: ClaimKey {
                team: mix64(number % TEAM_COUNT),
                key,
            },
            fingerprint: number,
            attempt: Attempt {
                instance: number % 420,
                number,
            },
            run_deadline: now + Duration::from_mins(1),
            valid_until: now + Duration::from_hours(24),
        };
        claims.claim(&request, now);
        let stored = StoredAnswer {
            status: 200,
            content_type: "application/json".to_owned(),
            body: vec![b'x'; 200],
        };
        claims.settle(&request.key, &request.attempt, Arc::new(stored), now);
    }
    claims
}
