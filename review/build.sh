#!/usr/bin/env bash
# Builds the stand-ins of this folder: they are Python without dependencies, so this only compiles
# them, which fails where the interpreter cannot run them.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
