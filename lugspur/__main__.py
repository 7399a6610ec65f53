"""`python -m lugspur`: the process of one proxy."""

from __future__ import annotations

import sys

from lugspur.signals import hold

if __name__ == "__main__":
    hold()  # Guards the start: a signal that ends the interpreter while it loads can crash it.
    from lugspur.process import main

    sys.exit(main())
