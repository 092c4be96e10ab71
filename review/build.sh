#!/bin/bash
# Builds the stand-ins and checks of the cases. They need no package but the standard library.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
