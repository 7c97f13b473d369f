#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/4 and later: one program, target/rig-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/rig-2 ./review/rig-2
