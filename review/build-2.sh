#!/bin/sh
# Builds the stand-ins of the scripts of the second review. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -C debuginfo=1 -o target/review-2/rig review/rig-2/main.rs
