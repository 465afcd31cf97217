#!/usr/bin/env bash
# Builds the stand-ins that the script cases of REPORT-2.md start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/rig ./review/rig
