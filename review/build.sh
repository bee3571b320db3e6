#!/bin/sh
# Builds what the scripts start besides the program of the deploy file: the stand-ins of the platform, of servers and of
# requesters. The servers are the project's own stand-in, linked into the same program.
set -eu
cd "$(dirname "$0")/standins"
GOWORK=off go build -o ../../target/review/standins .
