//! Tests of the owner.

mod envelope;
mod fake_engine;
mod fixture;
mod grants;
mod holder;
mod interleavings;
mod loads;
mod pauses;
mod queues;
mod simulation;
mod succession;
