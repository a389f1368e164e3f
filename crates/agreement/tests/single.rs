//! A single voter commits and applies an entry only after the entry is synced.
//! No other disk has a copy, so an early commit would lose the entry in a crash.

use std::time::Instant;

use bamboospur_agreement::{Input, Members, Output, PersistedState, Replica, ReplicaSettings};

fn sync(replica: &mut Replica, outputs: &[Output], now: Instant) -> Vec<Output> {
    let mut after = Vec::new();
    for output in outputs {
        if let Output::Persist(persist) = output {
            let sequence = persist.sequence;
            after.extend(replica.handle(Input::Synced { sequence }, now));
        }
    }
    after
}

#[test]
fn single_member_applies_only_after_the_sync() {
    let now = Instant::now();
    let settings = ReplicaSettings {
        id: 1,
        disk: 7,
        ..ReplicaSettings::default()
    };
    let restored = PersistedState::bootstrap(Members::from_voters(&[(1, 7)]));
    let mut replica = Replica::new(settings, restored, 1, now);
    let mut outputs = replica.handle(Input::Tick, now);
    assert!(matches!(outputs[1], Output::Restore { index: 0, .. }));
    while !outputs.is_empty() {
        outputs = sync(&mut replica, &outputs, now);
    }
    let data = vec![1, 2, 3];
    let proposed = replica.handle(
        Input::Propose {
            ticket: 9,
            data: data.clone(),
        },
        now,
    );
    assert_eq!(
        proposed.len(),
        1,
        "only the write may be issued before the sync"
    );
    let outputs = sync(&mut replica, &proposed, now);
    let term = replica.status().term;
    let index = 2;
    assert_eq!(outputs[0], Output::Apply { index, term, data });
    let result = Ok(index);
    assert_eq!(outputs[1], Output::Done { ticket: 9, result });
}
