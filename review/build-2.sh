#!/bin/sh
# Builds the stand-ins that the cases of the second review start, after the build of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-second ./review/second
