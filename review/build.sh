#!/usr/bin/env bash
# Builds the stand-ins of the scripts; it needs no network and no module but the standard library.
set -euo pipefail
cd "$(dirname "$0")"
CGO_ENABLED=0 go build -o bin/rig ./rig
