#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, into review/target/.
set -e
cd "$(dirname "$0")/.."
go build -o review/target/ ./review/faultrig
