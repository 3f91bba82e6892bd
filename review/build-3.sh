#!/bin/sh
# Builds the stand-ins that the cases 11 to 14 start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/third ./review/third
