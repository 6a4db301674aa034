#!/bin/bash
# Builds the stand-ins of the review with the compiler alone; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-stand-ins review/stand-ins/main.rs
