#!/bin/sh
# Fails if a name of the users' platform stands outside platform/, deploy/ and docs/.
set -eu
names='Dogwoodmux-|/dogwoodmux/(readiness|resolve|order|report|rows|blob)|DOGWOODMUX_|rows-(tx|get|feed|parts)|record_version|cold_remaining_ms|kv_cache_|cold_per_s|revoke_ms|traffic_split|api_keys'
if git grep -nE "$names" -- '*.go' ':!platform'; then
	echo "names of the platform stand outside platform/" >&2
	exit 1
fi
