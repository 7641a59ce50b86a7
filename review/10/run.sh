#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
if [ ! -x target/bramleyflow ] || [ ! -x target/review-2/late ]; then
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
fi
exec target/review-2/late odd-heartbeat "$here/record.txt"
