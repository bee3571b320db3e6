#!/bin/sh
# Installs the pinned linter into bin/ when bin/ lacks that version.
set -eu
version=$1
if [ -x bin/golangci-lint ] && bin/golangci-lint version 2>/dev/null | grep -q "$version"; then
	exit 0
fi
mkdir -p bin
GOBIN=$PWD/bin go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v$version"
