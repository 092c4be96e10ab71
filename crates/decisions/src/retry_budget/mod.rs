//! How many retries and hedges an instance may send.
