#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into review/build. Needs the compiler of the deploy file's build, no more.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [0-9]*/case.cpp; do
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -I. -o "build/case$(dirname "$source")" "$source"
done
