#!/bin/sh
# Builds the stand-ins of the scripts under review/, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
