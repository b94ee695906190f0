#!/usr/bin/env bash
# Runs a case once: review/run.sh N. 1: the rule was broken, 0: it held, 2: the case could not run. With TROUBLE=0
# without the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/.." || exit 2
program=review/bin/case-$1
if [ ! -x target/robinpin ] || [ ! -x "$program" ]; then
  echo "build the deploy file's programs and run review/build.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=5 110 "$program" "$folder" "review/$1/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
