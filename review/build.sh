#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases, without any dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/scene review/standins/main.rs
