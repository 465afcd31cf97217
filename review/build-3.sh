#!/bin/sh
# Builds the stand-ins of the cases of REPORT-3.md. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/rig3 ./review/rig3
