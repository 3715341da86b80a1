#!/bin/sh
# Runs the baseline experiment at several request rates, node counts and connection counts, and prints one line of
# results per run. These are the baseline figures in 'measurements.md'. Usage: experiments/baseline.sh FOLDER [CORE]
set -e
here="$(cd "$(dirname "$0")" && pwd)"
out="${1:?usage: baseline.sh FOLDER [CORE]}"
core="${2:-7}"
mkdir -p "$out"

figure() {
    sed -n "s/^ *\"$2\" : \([-0-9.eE]*\),*$/\1/p" "$out/$1/summary.json" | head -1
}

# Usage: play NAME RATE NODES CONNECTIONS HEAP_MB DIRECT. Runs one experiment; DIRECT=true runs it without a proxy.
play() {
    sed -e "s/^to = .*/to = $2/" -e "s/^count = 12/count = $3/" -e "s/^connections = 200\$/connections = $4\nopen_first = $4/" \
        "$here/baseline.toml" > "$out/$1.toml"
    printf '[proxies]\npin = "%s"\nheap_mb = %s\nsockets = 45000\nnone = %s\n' "$core" "$5" "$6" >> "$out/$1.toml"
    "$here/../bin/burlarch" experiment "$out/$1.toml" --out "$out/$1" --quiet > "$out/$1.txt" 2>&1 || true
    printf '%-24s rate %6s nodes %5s connections %6s: served %s p50 %s p99 %s ms, CPU ms a request %s, MB %s\n' \
        "$1" "$2" "$3" "$4" "$(figure "$1" served)" "$(figure "$1" p50_ms)" "$(figure "$1" p99_ms)" \
        "$(figure "$1" proxy_cpu_ms_per_request)" "$(figure "$1" proxy_rss_mb_most)"
}

play direct-2000 2000 12 200 48 true
for rate in 2000 4000 6000 8000 10000; do
    play "rate-$rate" "$rate" 12 200 48 false
done
for nodes in 100 1000; do
    play "nodes-$nodes" 2000 "$nodes" 200 96 false
done
for connections in 10 1000 10000; do
    play "connections-$connections" 2000 12 "$connections" 256 false
done
