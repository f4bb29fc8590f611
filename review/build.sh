#!/bin/sh
# Builds the stand-ins (state service, cloud, workers, users) that the cases start. Needs only rustc.
set -e
cd "$(dirname "$0")"
mkdir -p target
rustc --edition 2024 -O -o target/rig rig/main.rs
