#!/usr/bin/env bash
# Builds the stand-ins and scripts of the review into target/review. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/harness"
go build -o ../../target/review/ .
mv -f ../../target/review/harness ../../target/review/cases
