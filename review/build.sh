#!/usr/bin/env bash
# Builds the stand-ins of the cases. The programs under test are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/play ./review/play
