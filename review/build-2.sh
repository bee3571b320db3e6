#!/bin/sh
# Builds the stand-ins of the cases 4 and up into target/. They are a module of their own, outside the workspace.
set -eu
mkdir -p "$(dirname "$0")/../target"
cd "$(dirname "$0")/standins-2"
GOWORK=off go build -o ../../target/standins-2 .
