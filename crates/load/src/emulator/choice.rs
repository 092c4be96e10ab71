//! How an instance finds the engine for a request.

use clap::ValueEnum;

/// How an instance finds the engine for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum EngineChoice {
    /// From what the instance itself saw: its last grants, and its own arrivals times the
    /// number of instances.
    OwnView,
    /// After the holders of a few engines told how busy these are.
    Quotes,
}

impl EngineChoice {
    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::OwnView => "own-view",
            Self::Quotes => "quotes",
        }
    }
}
