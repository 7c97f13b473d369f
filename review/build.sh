#!/usr/bin/env bash
# Builds the programs of the cases into target/, beside the router. They are part of the module and add no dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/tamarindstepd ]; then
  go build -ldflags=-linkmode=external -o target/ ./cmd/tamarindstepd
fi
mkdir -p target/review
go build -o target/review/ ./review/cases/...
