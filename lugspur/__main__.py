"""`python -m lugspur`: the process of one proxy."""

from __future__ import annotations

import sys

from lugspur.signals import hold

# Optional parts of the standard library that would load OpenSSL, some megabytes of it: nothing here uses TLS.
NOT_LOADED = ("ssl", "_hashlib")


def main() -> int:
    """Start the process without them."""
    hold()  # Guards the start: a signal that ends the interpreter while it loads can crash it.
    sys.modules.update(dict.fromkeys(NOT_LOADED))  # type: ignore[arg-type]
    from lugspur.process import main as serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
