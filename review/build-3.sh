#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-3 review/standin-3/*.go
