#!/usr/bin/env bash
# Checks the model of the core protocol: the rules must hold in every state, and
# each broken rule must give a counterexample.
set -euo pipefail
model="$(cd "$(dirname "$0")" && pwd)/confirm.pml"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
memory=4000 # MB
depth=100000

# search NAME DEFINES... prints the result of one search and leaves it in $found.
search() {
	local name="$1"
	shift
	(cd "$work" && rm -f pan* && spin -a "$@" "$model" >/dev/null &&
		gcc -O3 -w -DSAFETY -DMEMLIM="$memory" -o pan pan.c)
	(cd "$work" && ./pan -m"$depth" >out 2>&1) || true
	if grep -Eq "max search depth too small|out of memory|Search not completed|interrupted" "$work/out" &&
		! grep -q "errors: 1" "$work/out"; then
		echo "$name: the search was not complete"
		cat "$work/out"
		exit 1
	fi
	found="$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/out")"
	states="$(sed -n 's/^ *\([0-9.e+]*\) states, stored$/\1/p' "$work/out")"
	printf '%-44s %10s states, %s errors\n' "$name" "$states" "$found"
}

holds() {
	search "$@"
	if [ "$found" != 0 ]; then
		cat "$work/out"
		(cd "$work" && ./pan -r pan.trail 2>/dev/null | tail -40) || true
		exit 1
	fi
}

breaks() {
	search "$@"
	if [ "$found" != 1 ] || ! grep -q "assertion violated" "$work/out"; then
		echo "$1: the broken rule gave no counterexample"
		exit 1
	fi
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
echo "the model holds, and every broken rule was found out"
