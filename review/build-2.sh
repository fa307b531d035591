#!/bin/sh
# Builds the stand-ins of the second review, with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/standins-2 review/standins-2.rs
