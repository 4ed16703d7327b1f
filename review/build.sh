#!/bin/sh
# Checks that the stand-ins and the cases compile; they need nothing but Python itself.
# The gateway that they start comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for file in standins/edgestore.py standins/edgewire.py review/kit.py review/[1-5]/case.py
do
  python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
