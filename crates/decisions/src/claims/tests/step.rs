//! Random steps of calls that share one key.

use quickcheck::{Arbitrary, Gen};

/// One event; numbers choose among the operations in flight.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Tick(u8),
    /// The clock is set back.
    ClockBack(u8),
    /// The caller sends its call again.
    Repeat,
    /// Another call comes with the same key.
    OtherBody,
    /// An operation is executed and answered.
    Answer(u8),
    /// An operation is executed and its answer is lost.
    LoseAnswer(u8),
    /// An operation's answer is lost and it is executed later.
    Delay(u8),
    /// A delayed operation is executed.
    ApplyDelayed(u8),
    /// An operation does not reach the store, or the service refuses to run it.
    Refuse(u8),
    /// The deadline of a call passes while its operation is in flight.
    Deadline(u8),
    /// An entry instance crashes with its claims; its operations may still be in flight.
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
            19 | 20 => Self::ApplyDelayed(pick),
            21 | 22 => Self::Refuse(pick),
            23 | 24 => Self::Deadline(pick),
            25 => Self::ClockBack(pick),
            _ => Self::Crash(pick),
        }
    }
}
