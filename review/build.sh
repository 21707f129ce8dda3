#!/bin/sh
# Builds the stand-ins of the scripts: the project's own and those in review/.
# They are Python and need only what the build of deploy/system.toml installs.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    echo "run the build command of deploy/system.toml first" >&2
    exit 1
fi
python3 -m compileall -q chervilrock/standin review
PYTHONPATH=target/deps python3 -c \
    'import msgspec, tornado, chervilrock.standin.site.site'
