#!/usr/bin/env bash
# Runs the tests with crowds of clients, one after the other and apart from other load, but
# for those that KNOWN-RED.txt lists in lines that begin with "crowd: ".
set -euo pipefail
cd "$(dirname "$0")/.."
red=$(sed -n 's/^crowd: \([^ ]*\).*/^\1$/p' KNOWN-RED.txt | sed 's#/#$/^#' | paste -sd'|')
if [ -n "$red" ]; then
	echo "known failures, not run: $red"
fi
${GO:-go} test ./soak -count=1 -timeout 30m -run 'OutliveCrowds|OutlivesCrowds' -soak.crowds ${red:+-skip "$red"}
