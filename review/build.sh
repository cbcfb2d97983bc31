#!/bin/sh
# Builds what the cases start beside the node: the stand-ins and drivers of the cases, with the Rust compiler alone.
# The node itself comes from the build command of the deploy file.
set -eu
cd "$(dirname "$0")"
out=../target/review
mkdir -p "$out"
rustc --edition 2021 -O --crate-type rlib --crate-name stand -o "$out/libstand.rlib" stand/lib.rs
for case in */case.rs; do
    number=${case%/case.rs}
    rustc --edition 2021 -O --crate-name "case$number" -L "$out" --extern stand="$out/libstand.rlib" \
        -o "$out/case$number" "$case"
done
