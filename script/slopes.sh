#!/bin/sh
# Runs the benchmarks and the fleets of several sizes that docs/CAPACITY.md works from, prints
# the figures and keeps them in docs/slopes.txt.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/ ./dogwoodload
{
	echo "commit $(git rev-parse --short HEAD), $(date -u +%Y-%m-%d), $(go version | cut -d' ' -f3-4), $(nproc) processors"
	echo
	go test -run "^$" -bench . -benchtime 200ms -benchmem ./core/dogwoodsettings ./core/decision/... ./core/duty/... ./core/state/... 2>&1 | grep -E '^(Benchmark|pkg:)'
	echo
	timeout -k 5 300 bin/dogwoodload fleet -daemons 8,25,50 -duration 10s
} | tee docs/slopes.txt
