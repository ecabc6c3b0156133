#!/bin/sh
# Builds the stand-ins and clients that the scripts of the second review start, the project's own among them, after the build of the deploy file.
set -e
cd "$(dirname "$0")/rig-2"
go build -o ../../target/review-2/rig .
