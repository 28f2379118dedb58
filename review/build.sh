#!/bin/sh
# Compile the stand-ins that the scripts of the cases start; the deploy file builds the rest.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review
