//! The operators' command: check, sign, roll out, status, history, dump.
