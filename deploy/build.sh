#!/bin/sh
# Installs the locked dependencies and the program into target/deps and compiles them
# to bytecode. The tree is read-only where the program runs, so Python could not store
# the bytecode there and would compile all modules at every start.
set -eu
compile="python3 -m compileall -q --invalidation-mode unchecked-hash"
if [ ! target/deps/.complete -nt requirements.lock ]; then
  python3 -m pip install --quiet --disable-pip-version-check --no-compile --upgrade \
    --target target/deps -r requirements.lock
  $compile target/deps || true
  touch target/deps/.complete
fi
rm -rf target/deps/acaciaward
cp -r acaciaward target/deps/acaciaward
find target/deps/acaciaward -name features -prune -exec rm -rf {} +
find target/deps/acaciaward -name __pycache__ -prune -exec rm -rf {} +
$compile target/deps/acaciaward
