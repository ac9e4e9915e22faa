#!/usr/bin/env bash
# run-case.sh FOLDER PROGRAM: runs a case from the repository's root. The exit code is 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
case_folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
if [ ! -x "target/review-3/$2" ] || [ ! -x target/azurespindle ]; then
    echo "build first: the line 'build' of deploy/system.toml, then review/build-3.sh" >&2
    exit 2
fi
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
timeout --signal=KILL 115 "target/review-3/$2" "$case_folder/record.txt" "$temporary"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
