#!/bin/sh
# Spoils one answer of a model server: a stream that goes on without the end of an event. Exits with 1 if more than three requests of
# others, passed on from kept channels to sound servers, end without an answer, 0 if not, 2 if the case could not run. TROUBLE=0: no
# answer is spoilt.
cd "$(dirname "$0")/../.." || exit 2
test -x target/platform -a -x target/review/standins || exit 2
exec timeout -k 5 110 target/review/standins flood review/3 target/platform
