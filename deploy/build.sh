#!/bin/sh
# Installs the locked libraries into target/deps and compiles the program's modules.
set -eu
if [ ! target/deps/.complete -nt requirements.lock ]; then
  python3 -m pip install --quiet --disable-pip-version-check --upgrade \
    --target target/deps -r requirements.lock
  touch target/deps/.complete
fi
PYTHONPATH=target/deps python3 -X pycache_prefix=target/pycache \
  -m compileall -q acaciaward target/deps || true
