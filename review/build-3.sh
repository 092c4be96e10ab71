#!/bin/bash
# Builds the stand-ins of the cases 11 to 15. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/standins review/standins-3/main.rs
