//! Tests of the owner.

mod fixture;
mod grants;
