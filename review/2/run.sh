#!/bin/sh
# Breaks off one in fifty answers of half of the model servers, on a route whose requests may be repeated. Exits with 1 if a requester
# gets a success whose body is not a server's whole body, 0 if none does, 2 if the case could not run. TROUBLE=0: no answer is broken
# off.
cd "$(dirname "$0")/../.." || exit 2
test -x target/platform -a -x target/review/standins || exit 2
exec timeout -k 5 110 target/review/standins joined review/2 target/platform
