#!/bin/sh
# Plays case 5; TROUBLE=0 leaves the disruption out. Build with review/build.sh before.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/balsammesh ] && [ -x target/review/5 ] || exit 2
exec target/review/5
