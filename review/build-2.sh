#!/bin/sh
# Builds the stand-ins of the second review's scripts. They use nlohmann/json, a package that
# deploy/system.toml names, and nothing of the product.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/standins-2/*.cc; do
    program=build/review-2/$(basename "$source" .cc | tr _ -)
    if [ ! -e "$program" ] || [ "$source" -nt "$program" ] \
        || [ review/standins-2/stage.h -nt "$program" ]; then
        "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "$program"
    fi
done
