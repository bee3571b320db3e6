#!/bin/sh
# Builds the stand-ins of the cases 4 and up into target/. They are a module of their own, outside the workspace.
set -eu
cd "$(dirname "$0")/standins-2"
GOWORK=off go build -ldflags=-linkmode=external -o ../../target/standins-2 .
