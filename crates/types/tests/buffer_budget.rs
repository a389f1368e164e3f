//! Budgets for buffers.

use std::thread;

use bamboospur_types::{BudgetExceeded, BufferBudget, ChunkedBuffer};
use quickcheck::quickcheck;

const LIMIT_BYTES: usize = 30 * 1024 * 1024;
/// Size of a short answer.
const SHORT_BYTES: usize = 16 * 1024;

/// Buffers that are filled without end must leave room for short ones.
#[test]
fn many_buffers_without_end_leave_room_for_short_ones() {
    let budget = BufferBudget::new(LIMIT_BYTES);
    let part = vec![0; 4 * 1024];
    let mut endless: Vec<ChunkedBuffer> = (0..80).map(|_| ChunkedBuffer::new(&budget)).collect();
    let mut grows = true;
    while grows {
        grows = false;
        for buffer in &mut endless {
            grows |= buffer.extend(&part).is_ok();
        }
    }
    assert!(budget.used_bytes() <= LIMIT_BYTES);
    let mut short = budget.buffer();
    for _ in 0..SHORT_BYTES / part.len() {
        assert_eq!(short.extend(&part), Ok(()));
    }
    assert!(budget.refused() > 0);
    drop((endless, short));
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn a_body_that_has_no_room_is_refused_before_it_arrives() {
    let budget = BufferBudget::new(LIMIT_BYTES);
    let mut first = budget.buffer();
    assert_eq!(first.reserve_total(LIMIT_BYTES), Err(BudgetExceeded));
    assert_eq!(first.reserve_total(LIMIT_BYTES / 4), Ok(()));
    assert!(budget.used_bytes() > LIMIT_BYTES / 5);
    let body = vec![1; LIMIT_BYTES / 4];
    for part in body.chunks(1000) {
        assert_eq!(first.extend(part), Ok(()));
    }
    assert_eq!(first.as_ref(), body);
}

#[test]
fn threads_share_a_budget() {
    let budget = BufferBudget::new(LIMIT_BYTES);
    thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                for size in 0..2_000 {
                    let mut reservation = budget.reservation();
                    // Some of them do not fit beside the others.
                    let _reserved = reservation.resize(size * 1_000);
                }
            });
        }
    });
    assert_eq!(budget.used_bytes(), 0);
}

quickcheck! {
    /// Whatever the sizes, buffers hold what was appended and free what they reserved.
    fn buffers_hold_what_was_appended(parts: Vec<Vec<u8>>) -> bool {
        let budget = BufferBudget::new(LIMIT_BYTES);
        let mut chunked = ChunkedBuffer::new(&budget);
        let mut whole = budget.buffer();
        for part in &parts {
            // The chunks of a buffer are longer than these parts.
            let part = part.repeat(300);
            if chunked.extend(&part).is_err() || whole.extend(&part).is_err() {
                return false;
            }
        }
        let wanted: Vec<u8> = parts.iter().flat_map(|part| part.repeat(300)).collect();
        let same = chunked.to_vec() == wanted && whole.as_ref() == wanted;
        drop((chunked, whole));
        same && budget.used_bytes() == 0
    }
}
