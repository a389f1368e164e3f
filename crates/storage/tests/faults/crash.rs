//! Guards against the loss of acknowledged writes in crashes and on full disks.

use std::sync::Arc;

use bamboospur_agreement::{Entry, Persist, PersistedState};
use bamboospur_storage::{DataFolder, Log, LogSettings, StorageError};

use crate::memory::{MemoryFiles, Random, Writer};

fn settings() -> LogSettings {
    LogSettings {
        segment_bytes: 600,
        ..LogSettings::default()
    }
}

pub fn open(files: &MemoryFiles) -> Result<(Log, PersistedState), StorageError> {
    DataFolder::with_files(Arc::new(files.clone()))?.open_log(settings())
}

/// Returns the state after a write, by the rules documented on `Persist`.
fn expected_state(state: &PersistedState, write: &Persist) -> PersistedState {
    let mut next = state.clone();
    next.hard_state = write.hard_state.unwrap_or(next.hard_state);
    if let Some(snapshot) = &write.snapshot {
        next.entries.retain(|e| e.index > snapshot.index);
        next.snapshot = Some(snapshot.clone());
    }
    if write.clear_log {
        next.entries.clear();
    }
    if let Some(first) = write.entries.first() {
        next.entries.retain(|e| e.index < first.index);
        next.entries.extend(write.entries.iter().cloned());
    }
    next
}

/// Returns whether the restored state has a snapshot that is newer than its log,
/// as a snapshot is durable before the writes around it. The entries after the
/// snapshot are then those of an older state that contains the last entry of the
/// snapshot, or none.
fn is_state_with_newer_snapshot(
    found: &PersistedState,
    states: &[PersistedState],
    synced: usize,
) -> bool {
    let Some(snapshot) = &found.snapshot else {
        return false;
    };
    let continues = |state: &PersistedState| {
        let is_end = |e: &&Entry| e.index == snapshot.index && e.term == snapshot.term;
        let rest = state.entries.iter().filter(|e| e.index > snapshot.index);
        state.entries.iter().any(|e| is_end(&e)) && rest.eq(found.entries.iter())
    };
    let fits = |s: &PersistedState| {
        s.hard_state == found.hard_state && (found.entries.is_empty() || continues(s))
    };
    let is_written = |s: &PersistedState| s.snapshot.as_ref() == Some(snapshot);
    states[synced..].iter().any(is_written) && states[synced..].iter().any(fits)
}

fn check(found: &PersistedState, states: &[PersistedState], synced: usize) {
    let exact = states[synced..].contains(found);
    assert!(
        exact || is_state_with_newer_snapshot(found, states, synced),
        "after {synced} synced writes: {found:?}"
    );
}

fn run_faults(seed: u64, full_disk: bool) {
    println!("seed {seed}");
    let mut random = Random(seed);
    let files = MemoryFiles::default();
    let mut writer = Writer::default();
    let (mut log, mut state) = open(&files).unwrap();
    for _ in 0..12 {
        let mut states = vec![state.clone()];
        let mut synced = 0;
        if full_disk {
            files.limit_free_bytes(Some(random.index(3000)));
        }
        let mut failed = false;
        for _ in 0..random.below(40) {
            let write = writer.next(&mut random);
            states.push(expected_state(&states[states.len() - 1], &write));
            failed = log.write(&write).is_err();
            if !failed && random.below(3) == 0 {
                match log.sync() {
                    Ok(report) => {
                        assert_eq!(report.sequence, write.sequence);
                        synced = states.len() - 1;
                    }
                    Err(_) => failed = true,
                }
            }
            if failed {
                assert!(matches!(log.sync(), Err(StorageError::Failed)));
                break;
            }
        }
        drop(log);
        if failed && random.below(2) == 0 {
            files.limit_free_bytes(None);
        } else {
            files.crash(&mut random);
        }
        let (reopened, found) = open(&files).unwrap();
        check(&found, &states, synced);
        log = reopened;
        writer = Writer::resume(&found, writer.sequence);
        state = found;
    }
}

#[test]
fn crashes_lose_nothing_that_was_synced() {
    for seed in 0..400 {
        run_faults(seed, false);
    }
}

#[test]
fn full_disks_lose_nothing_that_was_synced() {
    for seed in 1000..1400 {
        run_faults(seed, true);
    }
}

#[test]
fn one_sync_covers_many_writes() {
    let files = MemoryFiles::default();
    let (mut log, _) = open(&files).unwrap();
    let before = files.syncs();
    let mut random = Random(3);
    let mut writer = Writer::default();
    let mut count = 0;
    while count < 5 {
        let write = writer.next(&mut random);
        if write.snapshot.is_none() {
            log.write(&write).unwrap();
            count += 1;
        }
    }
    log.sync().unwrap();
    assert_eq!(files.syncs() - before, 1);
}

#[test]
fn second_process_is_refused_and_the_identity_stays() {
    let path = std::env::temp_dir().join(format!("bamboospur-storage-{}", std::process::id()));
    let folder = DataFolder::open(&path).unwrap();
    let disk = folder.disk_id();
    assert!(matches!(
        DataFolder::open(&path),
        Err(StorageError::Locked { .. })
    ));
    folder.blob("settings").save(b"first").unwrap();
    folder.blob("settings").save(b"second").unwrap();
    drop(folder);
    let folder = DataFolder::open(&path).unwrap();
    assert_eq!(folder.disk_id(), disk);
    assert_eq!(
        folder.blob("settings").load().unwrap().as_deref(),
        Some(&b"second"[..])
    );
    assert_eq!(folder.blob("other").load().unwrap(), None);
    drop(folder);
    std::fs::remove_dir_all(&path).unwrap();
}

#[test]
fn store_keeps_the_old_or_the_new_blob() {
    for seed in 0..200 {
        let mut random = Random(seed);
        let files = MemoryFiles::default();
        let store = |files: &MemoryFiles| {
            DataFolder::with_files(Arc::new(files.clone()))
                .unwrap()
                .blob("settings")
        };
        store(&files).save(&[1; 50]).unwrap();
        files.limit_free_bytes(Some(random.index(200)));
        let saved = store(&files).save(&[2; 90]);
        files.crash(&mut random);
        let found = store(&files).load().unwrap().unwrap();
        let expected = if saved.is_ok() {
            vec![2; 90]
        } else {
            vec![1; 50]
        };
        assert_eq!(found, expected, "seed {seed}");
    }
}
