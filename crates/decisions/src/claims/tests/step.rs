//! Random steps of calls with one key.

use quickcheck::{Arbitrary, Gen};

/// One thing that happens; numbers choose among what is under way.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Tick(u8),
    /// The clock is set back.
    ClockBack(u8),
    /// The caller sends its call again.
    Repeat,
    /// Another call comes with the same key.
    OtherBody,
    /// An operation is carried out and answered.
    Answer(u8),
    /// An operation is carried out and its answer is lost.
    LoseAnswer(u8),
    /// An operation's answer is lost and it is carried out later.
    Delay(u8),
    /// A delayed operation is carried out.
    CatchUp(u8),
    /// An operation does not reach the store, or the service refuses to run it.
    Refuse(u8),
    /// The deadline of a call passes while its operation is under way.
    Deadline(u8),
    /// An entry instance dies with its machine; its operations may still be under way.
    Crash(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u8::arbitrary(g);
        match u8::arbitrary(g) % 27 {
            0..=3 => Self::Tick(pick),
            4 | 5 => Self::Repeat,
            6 => Self::OtherBody,
            7..=14 => Self::Answer(pick),
            15 | 16 => Self::LoseAnswer(pick),
            17 | 18 => Self::Delay(pick),
            19 | 20 => Self::CatchUp(pick),
            21 | 22 => Self::Refuse(pick),
            23 | 24 => Self::Deadline(pick),
            25 => Self::ClockBack(pick),
            _ => Self::Crash(pick),
        }
    }
}
