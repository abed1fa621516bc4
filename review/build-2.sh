#!/bin/sh
# Builds the stand-ins and the cases of the second review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-kit-2 ./review/kit-2
