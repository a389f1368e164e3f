//! Turns of the connections of a thread that have much work at once.
//!
//! All connections of a listener share a thread. Decoding a body in many small chunks takes far
//! more time than receiving it, and a connection can carry many requests that were sent ahead, so
//! that a few of them would leave no time for others. Long work is therefore done in turns, a few
//! of them between two looks at all other connections.

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
    static SHARED: Rc<Semaphore> = Rc::new(Semaphore::new(TURNS));
}

/// Work on one connection without a pause.
#[derive(Debug, Default)]
pub struct Work {
    steps: usize,
}

impl Work {
    /// Counts steps that were done.
    pub const fn count(&mut self, steps: usize) {
        self.steps += steps;
    }

    /// Waits until the work may go on.
    pub async fn wait_for_turn(&self) {
        if self.steps <= FREE_STEPS {
            return;
        }
        let turns = SHARED.with(Rc::clone);
        // The semaphore is fair, and is never closed.
        let _turn = turns.acquire().await;
        yield_now().await;
    }
}
