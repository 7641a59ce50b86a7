#!/usr/bin/env bash
# Runs every test. The integration tests start processes and measure times, so
# they run after the others and alone.
set -euo pipefail
cd "$(dirname "$0")"
go test $(go list ./... | grep -v /internal/itest)
go test -count=1 -timeout 30m ./internal/itest
