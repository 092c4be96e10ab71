mod engine;
mod orders;
mod random_runs;
mod world;
