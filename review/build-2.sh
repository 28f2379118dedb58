#!/bin/sh
# Prepare the stand-ins of the cases 6 to 10.  They are plain Python and need no dependency; the
# routers run with what the build of the deploy file has put under target/.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later"'
python3 -m compileall -q review/stage.py review/6 review/7 review/8 review/9 review/10
