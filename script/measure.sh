#!/bin/sh
# Runs every scenario with the product's policy and the baseline, a few at a time, and writes
# docs/MEASURES.md and the plots beside it. A run that hangs is ended and shown as no result.
#   SEED=1 AT_ONCE=3 sh script/measure.sh
set -eu
cd "$(dirname "$0")/.."
seed=${SEED:-1}
at_once=${AT_ONCE:-3}
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT
go build -o bin/ ./dogwoodload
export results seed
for scenario in mixed burst hotcustomer slowendpoint longjobs overload datacentre coldstart crash poison silent storedown operators shutdown all ranks hot-customer turning-mix slow-readers; do
	for policy in product baseline; do
		echo "$scenario $policy"
	done
done | xargs -P "$at_once" -L 1 sh -c '
	file=$results/$0-$1-$seed.json
	timeout -k 5 60 bin/dogwoodload local -scenario "$0" -policy "$1" -seed "$seed" -json >"$file" 2>/dev/null || rm -f "$file"
	echo "$0 $1 done" >&2'
bin/dogwoodload summary -seed "$seed" -commit "$(git rev-parse --short HEAD)" -date "$(date -u +%Y-%m-%d)" "$results" >docs/MEASURES.md
mkdir -p docs/plots
bin/dogwoodload plot -chart service -output docs/plots/datacentre.svg "$results/datacentre-product-$seed.json"
bin/dogwoodload plot -chart firsttoken -output docs/plots/firsttoken-overload.svg "$results/overload-product-$seed.json" "$results/overload-baseline-$seed.json"
bin/dogwoodload plot -chart firsttoken -output docs/plots/firsttoken-mixed.svg "$results/mixed-product-$seed.json" "$results/mixed-baseline-$seed.json"
[ -z "${KEEP:-}" ] || cp -r "$results/." "$KEEP"
