#!/bin/sh
# Builds the stand-ins of the second review; run it from any folder, after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2021 -O -o target/review-2/cases review/standin-2/main.rs
