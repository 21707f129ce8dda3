#!/bin/sh
# Checks that all stand-ins of the cases 4 to 8 can be started: they are Python,
# and use the libraries that the build of the deploy file installs.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -c \
  "import chervilrock.node.serving, chervilrock.standin.site.site, review.common2"
