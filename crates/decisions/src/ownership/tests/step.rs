//! Random steps of the simulated zone.

use quickcheck::{Arbitrary, Gen};

/// Number of instances in the test zone.
pub const INSTANCES: usize = 4;
/// Number of upstreams that can be listed.
pub const UPSTREAMS: usize = 5;

/// One event in the simulated zone.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Ticks every running instance this many times.
    Tick(u8),
    /// The key-value service answers the oldest call.
    StoreAnswers,
    /// The key-value service executes the oldest call, but its answer is lost.
    StoreLosesAnswer,
    /// The answer to the oldest call is lost and its write is executed later.
    StoreDelays,
    /// The oldest delayed write is executed.
    StoreCatchesUp,
    StoreDown(bool),
    /// The oldest message between instances arrives, once or twice, or is lost.
    Deliver,
    DeliverTwice,
    Lose,
    Reorder,
    /// The first instance considers the second dead or alive.
    SeeDead(usize, usize),
    SeeAlive(usize, usize),
    Pause(usize),
    Resume(usize),
    Restart(usize),
    Leave(usize),
    /// An engine refuses an owner's epoch.
    Fence(usize),
    Listed(usize, bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let one = usize::arbitrary(g) % INSTANCES;
        let other = usize::arbitrary(g) % INSTANCES;
        let upstream = usize::arbitrary(g) % UPSTREAMS;
        match u8::arbitrary(g) % 48 {
            0..=13 => Self::Tick(u8::arbitrary(g) % 8),
            14..=18 => Self::StoreAnswers,
            19 => Self::StoreLosesAnswer,
            20 => Self::StoreDelays,
            21 => Self::StoreCatchesUp,
            22 => Self::StoreDown(bool::arbitrary(g)),
            23..=30 => Self::Deliver,
            31 => Self::DeliverTwice,
            32 => Self::Lose,
            33 => Self::Reorder,
            34 | 35 => Self::SeeDead(one, other),
            36 | 37 => Self::SeeAlive(one, other),
            38 => Self::Pause(one),
            39 | 40 => Self::Resume(one),
            41 | 42 => Self::Restart(one),
            43 | 44 => Self::Leave(one),
            45 => Self::Fence(one),
            _ => Self::Listed(upstream, bool::arbitrary(g)),
        }
    }
}
