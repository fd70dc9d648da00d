#!/usr/bin/env bash
# Engines crash, one after the other, under requests with answers of one event. Without the
# crashes: TROUBLE=0.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
case_folder="$(cd "$(dirname "$0")" && pwd)"
cd "$case_folder/../.." || exit 2
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 110 target/review-2/release/review-standins-2 verdict "$folder" "$case_folder/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
