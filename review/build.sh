#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/standin
