#!/bin/sh
# Builds the stand-ins of the second review, which need nothing but the standard library. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/driver review/stand-ins-2/main.rs
