#!/bin/sh
# Prepare the stand-ins of the cases 6 to 10.  They are plain Python and need no dependency; the
# routers run with what the build of the deploy file has put under target/.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later"'
python3 -m compileall -q review/stage.py
for case in 6 7 8 9 10; do
    if [ -d "review/$case" ]; then python3 -m compileall -q "review/$case"; fi
done
