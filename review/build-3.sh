#!/bin/sh
# Builds the stand-ins that the scripts of the third review start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins-3 review/standins-3.rs
