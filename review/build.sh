#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs no network: they use the standard library only.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/stand/Cargo.toml --target-dir target/review
