//! One data centre is cut off with the targets that hold cached prompts: where prompts go and
//! what they copy.

mod support;

use std::time::Instant;

use bamboospur_dispatch::{ChosenTarget, DispatchSettings, Dispatcher};
use support::{PROMPTS, choose, dispatcher, is_south};

fn cut_off_south(dispatcher: &mut Dispatcher, chosen: &[ChosenTarget], now: Instant) {
    let first = chosen.iter().find(|c| is_south(c)).expect("a holder");
    let mut others = chosen.iter().filter(|c| is_south(c));
    let second = others.find(|c| c.name != first.name).expect("a holder");
    for silent in [first, second] {
        dispatcher.record_unreachable("chat", silent, now);
    }
}

#[test]
fn prompts_leave_a_data_centre_when_two_of_its_silent_targets_accept_no_connection() {
    let now = Instant::now();
    let (mut dispatcher, chosen) = dispatcher(now);
    assert!(chosen.iter().any(is_south));
    cut_off_south(&mut dispatcher, &chosen, now);
    for key in 0..PROMPTS {
        assert!(!is_south(&choose(&mut dispatcher, key, now)));
    }
}

#[test]
fn prefixes_are_copied_only_from_targets_that_can_be_reached() {
    let now = Instant::now();
    let (mut dispatcher, chosen) = dispatcher(now);
    cut_off_south(&mut dispatcher, &chosen, now);
    let mut copies = 0;
    for (key, before) in (0..PROMPTS).zip(&chosen) {
        let choice = choose(&mut dispatcher, key, now);
        if is_south(before) {
            assert_eq!(choice.copy_from, None, "copies from a cut-off data centre");
        } else if choice.name != before.name {
            assert_eq!(choice.copy_from, Some(before.address));
            copies += 1;
        }
    }
    assert!(copies > 0, "no prompt moved within reach");
}

#[test]
fn prefixes_are_copied_again_once_the_data_centre_can_be_reached() {
    let now = Instant::now();
    let (mut dispatcher, chosen) = dispatcher(now);
    cut_off_south(&mut dispatcher, &chosen, now);
    let later = now + DispatchSettings::default().max_unreachable_pause;
    let holder = chosen.iter().position(is_south).expect("a holder");
    // Load at the holder makes its prompts spread.
    let mut copied = false;
    for _ in 0..100 {
        let choice = choose(&mut dispatcher, holder as u64, later);
        copied |= choice.copy_from == Some(chosen[holder].address);
    }
    assert!(copied);
}
