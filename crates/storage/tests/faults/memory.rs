//! Files in memory that lose or damage unsynced data in a simulated power loss.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

use bamboospur_agreement::{Entry, HardState, Members, Payload, Persist, PersistedState, Snapshot};
use bamboospur_storage::{DataFile, Files};
use bamboospur_types::mix64;

pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix64(self.0) % limit
    }

    pub fn index(&mut self, limit: usize) -> usize {
        usize::try_from(self.below(limit as u64)).unwrap()
    }
}

#[derive(Clone, Default)]
struct Data {
    bytes: Vec<u8>,
    synced_bytes: usize,
}

type SharedData = Arc<Mutex<Data>>;

enum NameChange {
    Set(String, SharedData),
    Remove(String),
}

#[derive(Default)]
struct State {
    names: BTreeMap<String, SharedData>,
    durable_names: BTreeMap<String, SharedData>,
    unsynced_changes: Vec<NameChange>,
    free_bytes: Option<usize>,
    sync_count: usize,
}

#[derive(Clone, Default)]
pub struct MemoryFiles {
    state: Arc<Mutex<State>>,
}

struct MemoryFile {
    data: SharedData,
    state: Arc<Mutex<State>>,
}

fn not_found() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl State {
    fn set(&mut self, name: &str, data: &SharedData) {
        self.names.insert(name.to_owned(), Arc::clone(data));
        self.unsynced_changes
            .push(NameChange::Set(name.to_owned(), Arc::clone(data)));
    }

    fn unset(&mut self, name: &str) -> io::Result<SharedData> {
        let data = self.names.remove(name).ok_or_else(not_found)?;
        self.unsynced_changes
            .push(NameChange::Remove(name.to_owned()));
        Ok(data)
    }
}

fn apply(durable: &mut BTreeMap<String, SharedData>, change: NameChange) {
    match change {
        NameChange::Set(name, data) => durable.insert(name, data),
        NameChange::Remove(name) => durable.remove(&name),
    };
}

impl MemoryFiles {
    /// Simulates a power loss: each unsynced name change may be lost, and of the
    /// unsynced bytes a random prefix is kept, with some blocks set to zero.
    pub fn crash(&self, random: &mut Random) {
        let mut state = self.state.lock().unwrap();
        let changes = std::mem::take(&mut state.unsynced_changes);
        for change in changes {
            if random.below(2) == 0 {
                apply(&mut state.durable_names, change);
            }
        }
        for data in state.durable_names.values() {
            let mut data = data.lock().unwrap();
            let unsynced = data.bytes.len() - data.synced_bytes;
            let kept = data.synced_bytes + random.index(unsynced + 1);
            data.bytes.truncate(kept);
            let synced = data.synced_bytes;
            for block in data.bytes[synced..].chunks_mut(16) {
                if random.below(4) == 0 {
                    block.fill(0);
                }
            }
            data.synced_bytes = data.bytes.len();
        }
        state.names = state.durable_names.clone();
        state.free_bytes = None;
    }

    /// Makes appends fail after this many bytes; `None` removes the limit.
    pub fn limit_free_bytes(&self, free_bytes: Option<usize>) {
        self.state.lock().unwrap().free_bytes = free_bytes;
    }

    pub fn syncs(&self) -> usize {
        self.state.lock().unwrap().sync_count
    }

    pub fn contents(&self) -> BTreeMap<String, Vec<u8>> {
        let state = self.state.lock().unwrap();
        let contents = state.names.iter();
        contents
            .map(|(n, d)| (n.clone(), d.lock().unwrap().bytes.clone()))
            .collect()
    }

    pub fn from_contents(contents: &BTreeMap<String, Vec<u8>>) -> Self {
        let files = Self::default();
        for (name, bytes) in contents {
            let data = Data {
                bytes: bytes.clone(),
                synced_bytes: bytes.len(),
            };
            let data = Arc::new(Mutex::new(data));
            files.state.lock().unwrap().names.insert(name.clone(), data);
        }
        files
    }
}

impl Files for MemoryFiles {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state.lock().unwrap().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state.lock().unwrap();
        let data = state.names.get(name).ok_or_else(not_found)?;
        Ok(data.lock().unwrap().bytes.clone())
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        let data = SharedData::default();
        self.state.lock().unwrap().set(name, &data);
        let state = Arc::clone(&self.state);
        Ok(Box::new(MemoryFile { data, state }))
    }

    fn open_append(&self, name: &str, length_bytes: usize) -> io::Result<Box<dyn DataFile>> {
        let data = self.state.lock().unwrap().names.get(name).cloned();
        let data = data.ok_or_else(not_found)?;
        let mut locked = data.lock().unwrap();
        locked.bytes.truncate(length_bytes);
        locked.synced_bytes = locked.synced_bytes.min(length_bytes);
        drop(locked);
        let state = Arc::clone(&self.state);
        Ok(Box::new(MemoryFile { data, state }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state.lock().unwrap();
        let data = state.names.remove(from).ok_or_else(not_found)?;
        // A rename is a single name change: the new name with the content of the old.
        state.set(to, &data);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.state.lock().unwrap().unset(name).map(drop)
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.state.lock().unwrap();
        for change in std::mem::take(&mut state.unsynced_changes) {
            apply(&mut state.durable_names, change);
        }
        Ok(())
    }

    fn random(&self) -> io::Result<u64> {
        Ok(0x1234_5678_0000_0077)
    }
}

impl DataFile for MemoryFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state.lock().unwrap();
        let room = state.free_bytes.unwrap_or(usize::MAX).min(bytes.len());
        state.free_bytes = state.free_bytes.map(|free| free - room);
        self.data
            .lock()
            .unwrap()
            .bytes
            .extend_from_slice(&bytes[..room]);
        if room < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.state.lock().unwrap().sync_count += 1;
        let mut data = self.data.lock().unwrap();
        data.synced_bytes = data.bytes.len();
        Ok(())
    }
}

/// Produces the writes of a replica that follows one leader after another.
#[derive(Default)]
pub struct Writer {
    pub sequence: u64,
    term: u64,
    first: u64,
    last: u64,
    terms: BTreeMap<u64, u64>,
}

impl Writer {
    /// Continues after a restart from the state that was restored from disk.
    pub fn resume(found: &PersistedState, sequence: u64) -> Self {
        let first = found.snapshot.as_ref().map_or(0, |s| s.index);
        let terms = found.entries.iter().map(|e| (e.index, e.term));
        let last_term = found.entries.last().map_or(0, |e| e.term);
        let snapshot_term = found.snapshot.as_ref().map_or(0, |s| s.term);
        Self {
            sequence,
            term: found.hard_state.term.max(last_term).max(snapshot_term),
            first,
            last: found.entries.last().map_or(first, |e| e.index),
            terms: terms.collect(),
        }
    }

    pub fn next(&mut self, random: &mut Random) -> Persist {
        self.sequence += 1;
        let mut write = Persist {
            sequence: self.sequence,
            ..Persist::default()
        };
        match random.below(20) {
            0 => {
                self.term += 1;
                let vote = Some(random.below(3));
                let term = self.term;
                write.hard_state = Some(HardState { term, vote });
            }
            1 if self.last > self.first => {
                let kept = self.last - self.first;
                let index = self.first + 1 + random.below(kept);
                write.snapshot = Some(snapshot(index, self.terms[&index], random));
                self.first = index;
            }
            2 => {
                let index = self.first + 1 + random.below(self.last - self.first + 5);
                self.term += 1;
                write.snapshot = Some(snapshot(index, self.term, random));
                write.clear_log = true;
                (self.first, self.last) = (index, index);
                self.terms.insert(index, self.term);
            }
            _ => {
                let back = random.below(3).min(self.last - self.first);
                self.term += u64::from(back > 0);
                self.last -= back;
                for _ in 0..=random.below(3) {
                    self.last += 1;
                    self.terms.insert(self.last, self.term);
                    let length = random.index(60);
                    write.entries.push(Entry {
                        index: self.last,
                        term: self.term,
                        payload: Payload::Data(vec![7; length]),
                    });
                }
            }
        }
        write
    }
}

fn snapshot(index: u64, term: u64, random: &mut Random) -> Snapshot {
    let length = random.index(200);
    Snapshot {
        index,
        term,
        members: Members::from_voters(&[(1, 77)]),
        state: Arc::new(vec![5; length]),
    }
}
