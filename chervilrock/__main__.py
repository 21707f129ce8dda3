"""Runs the command line by `python -m chervilrock`."""

import sys

from chervilrock.ui import main

sys.exit(main())
