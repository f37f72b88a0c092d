"""Starts an entry on the users' platform.

This module imports little, so that SIGHUP is ignored early: it ends a process without a handler.
"""

import signal
import sys


def main() -> int:
    """Entry point of the process."""
    # The settings are read later, so that a reload asked for before then needs no action.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from fescuecrank_daemon import platform_entry

    return platform_entry.main()


if __name__ == "__main__":
    sys.exit(main())
