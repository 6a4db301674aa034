#!/bin/sh
# Builds the stand-ins of the third review's scripts, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/rig review/stand-ins-3/rig.rs
