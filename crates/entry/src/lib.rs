//! The entry process: filter chain for requests and controllers for state.
