mod engine;
mod kept;
mod orders;
mod prompts;
mod random_runs;
mod world;
