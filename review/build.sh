#!/usr/bin/env bash
# Builds the stand-ins of the review. They need no packages, so no network.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --offline --manifest-path standin/Cargo.toml --target-dir standin/target
