//! Turns of the connections of a thread that have much work at once.
//!
//! All connections of a listener share a thread. Decoding a body in many small chunks takes far
//! more time than receiving it, and a connection can carry many requests that were sent ahead, so
//! that a crowd would leave no time for others. Long work is therefore done in turns, a few of
//! them between two looks at all other connections.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Semaphore;
use tokio::task::yield_now;

/// Steps that need no turn.
const FREE_STEPS: usize = 256;
/// Steps of a request that was sent ahead; a read and a chunk of a body are one step each.
pub const PIPELINED_REQUEST_STEPS: usize = 64;
/// Connections that proceed between two looks at all others.
const TURNS: usize = 4;

thread_local! {
    static SHARED: Rc<Shared> = Rc::new(Shared {
        turns: Semaphore::new(TURNS),
        long: Cell::new(0),
    });
}

#[derive(Debug)]
struct Shared {
    turns: Semaphore,
    /// Number of connections with long work.
    long: Cell<usize>,
}

/// Work on one connection without a pause.
#[derive(Debug, Default)]
pub struct Work {
    steps: usize,
    long: Option<LongWork>,
}

/// Counts a connection with long work until it is dropped.
#[derive(Debug)]
struct LongWork(Rc<Shared>);

impl LongWork {
    fn new() -> Self {
        let shared = SHARED.with(Rc::clone);
        shared.long.set(shared.long.get() + 1);
        Self(shared)
    }
}

impl Drop for LongWork {
    fn drop(&mut self) {
        self.0.long.set(self.0.long.get() - 1);
    }
}

impl Work {
    /// Counts steps that were done.
    pub const fn count(&mut self, steps: usize) {
        self.steps += steps;
    }

    /// Waits until the work may go on.
    pub async fn wait_for_turn(&mut self) {
        if self.steps <= FREE_STEPS {
            return;
        }
        let shared = &self.long.get_or_insert_with(LongWork::new).0;
        if shared.long.get() <= TURNS {
            return;
        }
        // The semaphore is fair, and is never closed.
        let _turn = shared.turns.acquire().await;
        yield_now().await;
    }
}
