#!/bin/sh
# Builds the stand-ins of the scripts; needs only Go's standard library.
set -e
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod go build -o bin/ ./cmd/...
