#!/bin/sh
# Builds the cases' programs, which hold their stand-ins, with the standard library alone.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case.rs; do
    rustc --edition 2021 -O "$source" -o "bin/case-$(dirname "$source")"
done
