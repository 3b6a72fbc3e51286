"""Entry point of `python -m yuccarelay`."""

import sys

from yuccarelay.hangup import ignore_hangups

if __name__ == '__main__':
    ignore_hangups(sys.argv[1:])
    from yuccarelay.main import run

    run()
