#!/bin/sh
# Prepares what the scripts of the second review (6 to 10) need beside the build of the
# deploy file. Their stand-ins use nothing but Python's standard library, so it is enough
# to compile them; the entries run from target/deps.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/acaciaward
python3 -m compileall -q standins review/kit_2.py review/6 review/7 review/8 review/9 \
  review/10
python3 -S -P -c 'import pathlib, sys; sys.path.insert(0, "review"); import kit_2'
