mod random_runs;
mod rules;
mod world;
