#!/bin/sh
# Runs all tests of the packages given with the race detector, in three groups. Tests and subtests that
# KNOWN-RED.txt names at the start of a line are left out.
#
# Tests of crowds, which measure the memory of a daemon's process, run last and alone.
#
# Tests that pause time run on one thread. The runtime keeps one race context for all timers of a
# synctest bubble and enters it without a lock wherever a timer that is due is armed or read, so that
# two threads at once spoil the detector's own memory: the process then dies with SIGSEGV, "CHECK
# failed" or "traceback did not unwind completely", and no test has failed. On one thread that can't
# happen, and races are still found, since the detector goes by the order of synchronisation.
set -eu
cd "$(dirname "$0")/.."

paused='{{range .TestImports}}{{if eq . "testing/synctest"}}{{$.ImportPath}}{{end}}{{end}}'
paused="$paused"'{{range .XTestImports}}{{if eq . "testing/synctest"}}{{" "}}{{$.ImportPath}}{{end}}{{end}}'

all=$(go list "$@")
one=$(go list -f "$paused" "$@" | tr ' ' '\n' | sort -u | sed '/^$/d')
alone=$(printf '%s\n' "$all" | grep '/dogwoodcrowd$' || true)
many=$(printf '%s\n' "$all" | grep -vxF "$one" | grep -vxF "$alone" || true)

red='^none$'
if [ -f KNOWN-RED.txt ]; then
	red=$(sed -n 's/^\(Test[A-Za-z0-9_/-]*\):.*/\1/p' KNOWN-RED.txt | sed 's#/#$/^#; s#.*#^&$#' | paste -sd '|' -)
	red=${red:-^none$} # no entry names a test
fi

# Word splitting is wanted: one package a word. A group may be empty.
status=0
# shellcheck disable=SC2086
[ -z "$many" ] || go test -race -timeout 20m -skip "$red" $many || status=$?
# shellcheck disable=SC2086
[ -z "$one" ] || go test -race -cpu 1 -timeout 20m -skip "$red" $one || status=$?
# shellcheck disable=SC2086
[ -z "$alone" ] || go test -race -p 1 -count=1 -timeout 20m -skip "$red" $alone || status=$?
exit $status
