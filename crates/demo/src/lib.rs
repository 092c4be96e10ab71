//! Everything in one process on loopback, to try the project.
