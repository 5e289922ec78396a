#!/bin/bash
# Builds the stand-ins that the scripts of the second review start. Needs no network: the crate has no dependency.
set -e
cd "$(dirname "$0")/standin-2"
CARGO_TARGET_DIR=target cargo build --release --offline
