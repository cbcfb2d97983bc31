#!/bin/sh
# Runs this case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
case=$root/target/review/case$(basename "$folder")
temp=$(mktemp -d) || exit 2
trap 'rm -rf "$temp"' EXIT
[ -x "$case" ] && [ -x "$root/target/release/yarrowfront" ] || { echo "build first: the deploy file's build and review/build.sh"; exit 2; }
"$case" "$root" "$folder" "$temp"
