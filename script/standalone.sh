#!/bin/sh
# Builds each module outside the workspace, so that its own go.mod is complete.
set -eu
for module in core dogwoodctl dogwoodload dogwoodlocal dogwoodmuxd platform; do
	(cd "$module" && GOWORK=off go build -o /dev/null ./...)
done
