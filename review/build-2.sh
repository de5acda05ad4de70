#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the project's own programs: the stand-ins and the checks.
set -euo pipefail
cd "$(dirname "$0")/second"
mkdir -p bin
GOWORK=off go build -o bin/ .
