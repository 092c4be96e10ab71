//! Failure detection within a zone.
