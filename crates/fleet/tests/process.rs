//! Guards against processes that go on without a part that they need: they would accept calls and
//! answer none.

use std::thread;
use std::time::Duration;

use bamboospur_fleet::process::{Essential, essential_ended, run, spawn_detached, spawn_essential};
use tokio::time::{sleep, timeout};

/// Longer than the process takes to notice the end of a part.
const WAIT: Duration = Duration::from_millis(500);

/// Returns the part with whose end a process ends, if it does within [`WAIT`].
fn ended_part(start: impl FnOnce() + 'static) -> Option<&'static str> {
    let mut ended = None;
    let role = async {
        start();
        ended = timeout(WAIT, essential_ended()).await.ok();
        Ok(())
    };
    run(role).expect("a role that ends");
    ended
}

/// Guards against connections that end the process, and against parts that end it although they
/// are not needed any more.
#[test]
fn a_process_goes_on_without_other_tasks() {
    assert_eq!(ended_part(|| spawn_detached(async { panic!("one") })), None);
    let released = || {
        let guard = Essential::new("released");
        thread::spawn(|| guard.release()).join().expect("a thread");
    };
    assert_eq!(ended_part(released), None);
    let waits = || spawn_essential("waits", sleep(Duration::from_mins(1)));
    assert_eq!(ended_part(waits), None);
}

/// Guards against a process that goes on after a panic of the task that owns its state.
#[test]
fn a_process_ends_with_its_first_essential_part() {
    let panics = || {
        spawn_essential("state", async {
            sleep(Duration::from_millis(10)).await;
            panic!("overflow");
        });
        spawn_essential("listener", sleep(Duration::from_millis(50)));
    };
    assert_eq!(ended_part(panics), Some("state"));
    let panics = || {
        let guard = Essential::new("disk");
        thread::spawn(|| {
            let _guard = guard;
            panic!("overflow");
        });
    };
    assert_eq!(ended_part(panics), Some("disk"));
}
