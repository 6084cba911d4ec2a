#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for SOURCE in review/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -Werror -pthread "$SOURCE" \
    -o "target/review/$(basename "$SOURCE" .cpp)"
done
