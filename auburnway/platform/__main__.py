"""Runs a program on the platform: python -m auburnway.platform PROGRAM."""

import os
import sys

from auburnway.platform import early_listener


def main() -> int:
    """Opens the entry's socket, then imports and runs the program."""
    listener = early_listener.open_socket(sys.argv[1:], os.environ)
    from auburnway.platform import main as main_lib

    return main_lib.main(listener=listener)


sys.exit(main())
