//! Rejections of one request, and whether their cause is the target or the request.
//!
//! A target that is full rejects requests, and so does one that can never run a request,
//! for example because its prompt exceeds the engine's memory. Both answers look the same.
//! They differ in the load that the answer states: a full target has no free slot or a
//! queue. When several targets with free slots and no queue reject a request, the others
//! would do so as well, and none of them is avoided for other requests.

use bamboospur_dispatch::LoadReport;

/// Rejections by targets with room after which the request is taken to be the cause.
const MIN_REJECTIONS_WITH_ROOM: u32 = 2;

/// Why targets reject a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// The target has no capacity left; another one may run the request.
    Target,
    /// No target accepts the request.
    Request,
}

/// Counts the rejections of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rejections {
    with_room: u32,
}

impl Rejections {
    /// Records a rejection by another target, with the load that its answer states, and
    /// returns the likely cause.
    pub fn record(&mut self, load: Option<LoadReport>) -> RejectionCause {
        let has_room = load.is_some_and(|load| load.running < load.slots && load.waiting == 0);
        self.with_room += u32::from(has_room);
        if has_room && self.with_room >= MIN_REJECTIONS_WITH_ROOM {
            RejectionCause::Request
        } else {
            RejectionCause::Target
        }
    }

    /// Returns the number of targets with room that rejected the request.
    #[must_use]
    pub const fn with_room(&self) -> u32 {
        self.with_room
    }
}
