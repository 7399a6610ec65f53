"""A proxy process that is ready to start: `python -m lugspur.lab.held_start`.

It has loaded the program, and runs it (as `python -m lugspur` does) once a line comes on its standard input.
So many processes can start at the same time without a wait for the machine to load them all; one whose
standard input ends before does nothing.
"""

from __future__ import annotations

import sys

from lugspur.process import main

if __name__ == "__main__":
    sys.exit(main() if sys.stdin.readline() else 0)
