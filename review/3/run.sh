#!/bin/sh
# Sends requests whose paths begin with two slashes. Exits with 1 if a server ran one whose method, path, query or host is not the
# requester's, 0 if none did, 2 if the case could not run. TROUBLE=0: the paths begin with one slash.
cd "$(dirname "$0")/../.." || exit 2
test -x target/platform -a -x target/review/standins || exit 2
exec timeout -k 5 110 target/review/standins changed-path review/3 target/platform
