#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$here/../bin/drain" ] || [ ! -x "$root/bin/curlewmux" ]; then
	echo "build the project and run review/build.sh first" >&2
	exit 2
fi
timeout -k 3 112 "$here/../bin/drain" "$root" "$here"
code=$?
[ $code -le 1 ] || code=2
exit $code
