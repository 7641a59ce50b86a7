#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. The programs under test are built
# by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/late ./review/late
