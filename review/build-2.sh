#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review. Run it after the build line of deploy/system.toml.
# They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
GOFLAGS= GOWORK=off go build -o ../../target/standins-2 .
