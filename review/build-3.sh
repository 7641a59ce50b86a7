#!/usr/bin/env bash
# Builds the programs that the scripts of cases 11 to 15 start beside the product.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
for n in 12 13 14; do
  go build -ldflags=-linkmode=external -o "target/review-$n" "./review/$n"
done
