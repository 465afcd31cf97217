#!/bin/sh
# Builds the harness of the scripts, with all stand-ins.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
