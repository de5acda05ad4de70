#!/bin/sh
# Builds the stand-ins of the cases. The project itself is built by the command in deploy/balancer.toml.
set -e
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS= GOWORK=off go build -o bin/ ./stuck ./throng ./drain
