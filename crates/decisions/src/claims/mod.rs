//! At-most-once runs of keyed calls.
