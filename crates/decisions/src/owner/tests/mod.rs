//! Tests of the owner.

mod fake_engine;
mod fixture;
mod grants;
mod holder;
mod interleavings;
mod loads;
mod pauses;
mod queues;
mod succession;
mod world;
