//! Comparing policies: the same plan against the same stand-ins, one policy after another.

mod cpu;
mod player;

pub use cpu::CpuMeter;
pub use player::Player;
