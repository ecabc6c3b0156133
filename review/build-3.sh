#!/bin/sh
# Builds the stand-ins of the scripts of the third review.
set -e
cd "$(dirname "$0")/rig-3"
go build -o ../../target/review-3/rig3 .
