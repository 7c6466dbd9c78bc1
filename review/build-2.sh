#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10.
set -euo pipefail
cd "$(dirname "$0")/.."
for n in 6 7 8 9 10; do
  if [ -d "review/$n" ] && [ -f "review/$n/main.go" ]; then
    go build -ldflags=-linkmode=external -o "target/review-$n" "./review/$n"
  fi
done
