#!/bin/sh
# Builds what the scripts of the second review start, beside what the deploy file builds. Run it at the root of the repository.
set -e
go build -o target/cases2 ./review/cases2
