mod engine;
mod kept;
mod orders;
mod places;
mod prompts;
mod random_runs;
mod room;
mod world;
