mod engine;
mod orders;
mod prompts;
mod random_runs;
mod world;
