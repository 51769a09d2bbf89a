#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, without a network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-2/Cargo.toml --target-dir target/review-2
