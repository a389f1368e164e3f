//! Snapshot files.

use std::sync::Arc;

use bamboospur_agreement::{Members, Snapshot};
use serde::{Deserialize, Serialize};

use crate::error::StorageError;
use crate::files::Files;
use crate::store::{load_blob, save_blob};

const SNAPSHOT_PREFIX: &str = "snapshot-";

/// Start of a snapshot file; the state follows it.
#[derive(Serialize, Deserialize)]
struct SnapshotMeta {
    index: u64,
    term: u64,
    members: Members,
}

fn snapshot_name(index: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{index:016x}")
}

/// Saves a snapshot, which is durable on return.
pub fn save(files: &dyn Files, snapshot: &Snapshot) -> Result<(), StorageError> {
    let name = snapshot_name(snapshot.index);
    let meta = SnapshotMeta {
        index: snapshot.index,
        term: snapshot.term,
        members: snapshot.members.clone(),
    };
    let Ok(mut blob) = postcard::to_stdvec(&meta) else {
        return Err(StorageError::corrupt(
            &name,
            0,
            "the members cannot be encoded",
        ));
    };
    blob.extend_from_slice(&snapshot.state);
    save_blob(files, &name, &blob)
}

/// Loads the newest snapshot.
pub fn load(files: &dyn Files, names: &[String]) -> Result<Option<Snapshot>, StorageError> {
    let Some((_, name)) = snapshot_files(names).last().cloned() else {
        return Ok(None);
    };
    let Some(blob) = load_blob(files, &name)? else {
        return Ok(None);
    };
    let Ok((meta, state)) = postcard::take_from_bytes::<SnapshotMeta>(&blob) else {
        return Err(StorageError::corrupt(
            &name,
            0,
            "the members cannot be decoded",
        ));
    };
    Ok(Some(Snapshot {
        index: meta.index,
        term: meta.term,
        members: meta.members,
        state: Arc::new(state.to_vec()),
    }))
}

/// Removes the snapshots before an index.
pub fn remove_before(files: &dyn Files, index: u64) -> Result<(), StorageError> {
    let names = files.list();
    let names = names.map_err(|source| StorageError::io("list", "the folder", source))?;
    for (old, name) in snapshot_files(&names) {
        if old < index {
            let removed = files.remove(&name);
            removed.map_err(|source| StorageError::io("remove", &name, source))?;
        }
    }
    Ok(())
}

/// Returns index and name of the snapshot files, in the order of the index.
fn snapshot_files(names: &[String]) -> Vec<(u64, String)> {
    let parse = |name: &String| {
        let digits = name.strip_prefix(SNAPSHOT_PREFIX)?;
        Some((u64::from_str_radix(digits, 16).ok()?, name.clone()))
    };
    let mut found: Vec<_> = names.iter().filter_map(parse).collect();
    found.sort();
    found
}
