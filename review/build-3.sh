#!/bin/sh
# Builds the stand-ins and clients of the scripted cases of this review. They use the
# standard library only. The project's own program is built as the deploy file says.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
cd review/lab-3
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o ../../target/review-lab-3 .
