#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. The project's programs come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread harness.cpp "$source" -o "bin/case-$(dirname "$source")"
done
