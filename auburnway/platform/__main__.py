"""Runs the platform's programs: python -m auburnway.platform PROGRAM."""

import sys

from auburnway.platform import main

sys.exit(main.main())
