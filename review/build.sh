#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, beside the programs that the build line of deploy/system.toml puts there.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/reviewcase
