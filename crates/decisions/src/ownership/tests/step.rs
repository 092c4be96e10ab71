//! Random steps of a zone.

use quickcheck::{Arbitrary, Gen};

/// Instances in the tested zone.
pub const INSTANCES: usize = 4;
/// Upstreams that may be listed.
pub const UPSTREAMS: usize = 5;

/// One thing that happens.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Time passes on every instance that runs.
    Tick(u8),
    /// The key-value service answers the oldest call.
    StoreAnswers,
    /// The key-value service carries out the oldest call and its answer is lost.
    StoreLosesAnswer,
    /// The oldest call is answered as lost and carried out later.
    StoreDelays,
    /// The oldest delayed call is carried out.
    StoreCatchesUp,
    StoreDown(bool),
    /// The oldest message between instances arrives, once or twice, or is lost.
    Deliver,
    DeliverTwice,
    Lose,
    Reorder,
    /// An instance takes another for dead, or for well.
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
