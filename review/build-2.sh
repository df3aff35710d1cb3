#!/bin/sh
# Builds the stand-in that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/standin-2 ./review/standin-2
