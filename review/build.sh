#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
go build -o ../target/review-stand ./stand
