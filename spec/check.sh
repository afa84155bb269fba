#!/usr/bin/env bash
# Checks the model of the core protocol: the rules must hold in every state, and
# each broken rule must give a counterexample.
set -euo pipefail
model="$(cd "$(dirname "$0")" && pwd)/confirm.pml"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
memory=4000 # MB for each search
parallel=3
depth=100000

# search DIR DEFINES... builds and runs one search in a directory of its own.
search() {
	local dir="$work/$1"
	shift
	mkdir "$dir"
	cd "$dir"
	spin -a "$@" "$model" >/dev/null
	gcc -O3 -w -DSAFETY -DMEMLIM="$memory" -o pan pan.c
	./pan -m"$depth" >out 2>&1 || true
}

# report NAME DIR prints the result of one search and leaves it in $found.
report() {
	local out="$work/$2/out"
	if grep -Eq "max search depth too small|out of memory|Search not completed|interrupted" "$out" &&
		! grep -q "errors: 1" "$out"; then
		echo "$1: the search was not complete"
		cat "$out"
		exit 1
	fi
	found="$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$out")"
	states="$(sed -n 's/^ *\([0-9.e+]*\) states, stored$/\1/p' "$out")"
	printf '%-48s %10s states, %s errors\n' "$1" "$states" "$found"
}

names=()
kinds=()

# holds and breaks start a search in the background and note what must come out.
holds() { begin holds "$@"; }
breaks() { begin breaks "$@"; }

begin() {
	local dir="${#names[@]}"
	kinds+=("$1")
	names+=("$2")
	shift 2
	while [ "$(jobs -rp | wc -l)" -ge "$parallel" ]; do
		wait -n
	done
	(search "$dir" "$@") &
}

# judge reports all searches in order and fails at the first wrong result.
judge() {
	wait
	for dir in "${!names[@]}"; do
		report "${names[$dir]}" "$dir"
		case "${kinds[$dir]}" in
		holds)
			if [ "$found" != 0 ]; then
				cat "$work/$dir/out"
				(cd "$work/$dir" && ./pan -r pan.trail 2>/dev/null | tail -40) || true
				exit 1
			fi
			;;
		breaks)
			if [ "$found" != 1 ] || ! grep -q "assertion violated" "$work/$dir/out"; then
				echo "${names[$dir]}: the broken rule gave no counterexample"
				exit 1
			fi
			;;
		esac
	done
}

holds "edits and a roster, restart" -DRECORDS=2 -DROSTERS=1
holds "the same, the other daemon asks" -DRECORDS=2 -DROSTERS=2 -DASKER=1 -DNORESTART
holds "three records, two rosters in succession" -DRECORDS=3 -DROSTERS=2 -DNORESTART
holds "no roster at first" -DRECORDS=2 -DROSTERS=1 -DBOOT
holds "a holding over two rosters, restart" -DRECORDS=2 -DROSTERS=2 -DHOLDINGS

breaks "broken: no wait for L" -DRECORDS=2 -DROSTERS=1 -DNOWAIT
breaks "broken: majority of the wrong roster" -DRECORDS=2 -DROSTERS=1 -DWRONGROSTER
breaks "broken: asks the roster in force" -DRECORDS=2 -DROSTERS=2 -DHOLDINGS -DWRONGASK
breaks "broken: peer's age not added" -DRECORDS=2 -DROSTERS=1 -DNOAGE
breaks "broken: restarted witness keeps its seat" -DRECORDS=2 -DROSTERS=1 -DKEEPSEAT
breaks "broken: evidence counts from the answer" -DRECORDS=2 -DROSTERS=1 -DANSWERTIME
breaks "broken: evidence for what witnesses have read" -DRECORDS=2 -DROSTERS=1 -DOLDAT
breaks "broken: holds by the roster in force alone" -DRECORDS=2 -DROSTERS=1 -DHOLDINGS -DEARLYTAKE
judge
echo "the model holds, and every broken rule was found out"
