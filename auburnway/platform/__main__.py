"""Runs a program on the platform: python -m auburnway.platform PROGRAM."""

import sys

from auburnway.platform import main

sys.exit(main.main())
