#!/usr/bin/env bash
# Runs every test. The integration tests start processes and measure times, so
# they run after the others and alone. Tests listed in KNOWN-RED.txt are passed
# over and printed; each entry there begins with the name of its test.
set -euo pipefail
cd "$(dirname "$0")"

skip=()
if [ -f KNOWN-RED.txt ]; then
  names="$(grep -oE '^Test[A-Za-z0-9_]+' KNOWN-RED.txt | sort -u | paste -sd '|' -)"
  if [ -n "$names" ]; then
    echo "known red, passed over: $names"
    skip=(-skip "^($names)\$")
  fi
fi
go test "${skip[@]}" $(go list ./... | grep -v -e /internal/itest -e /platform/soak)
go test -count=1 -timeout 30m "${skip[@]}" ./internal/itest
go test -count=1 "${skip[@]}" ./platform/soak
