//! One model request from admission to its one answer.
