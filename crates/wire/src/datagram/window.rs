//! Replay window: sequence numbers received from one sender.

const WORD_COUNT: usize = 16;
/// Sequence numbers in the window.
const WINDOW_SIZE: u64 = 64 * WORD_COUNT as u64;

/// The newest sequence number, and a bitmap that tells which of the 1,024 numbers up to
/// it were received.
///
/// Sequence numbers count all packets of the sender, so one receiver sees gaps; 1,024
/// numbers cover several seconds of a busy sender.
#[derive(Clone, Debug, Default)]
pub struct Window {
    newest: u64,
    seen: [u64; WORD_COUNT],
}

impl Window {
    /// Records a number; false when the number was received before or is older than the
    /// window.
    pub fn accept(&mut self, number: u64) -> bool {
        if number > self.newest {
            self.advance(number);
        } else if self.newest - number >= WINDOW_SIZE {
            return false;
        }
        let (word, bit) = word_and_bit(number);
        let fresh = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        fresh
    }

    fn advance(&mut self, number: u64) {
        let steps = (number - self.newest).min(WINDOW_SIZE);
        for back in 0..steps {
            let (word, bit) = word_and_bit(number - back);
            self.seen[word] &= !bit;
        }
        self.newest = number;
    }
}

fn word_and_bit(number: u64) -> (usize, u64) {
    let at = number % WINDOW_SIZE;
    (usize::try_from(at / 64).unwrap_or(0), 1 << (at % 64))
}
