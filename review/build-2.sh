#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 (standard library only, no download).
set -e
cd "$(dirname "$0")/second"
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-mod=mod go build -o ../../target/review-second/case .
