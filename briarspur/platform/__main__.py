"""Starts a gateway on the platform."""

import gc
import sys

__all__ = ["main"]


def main() -> int:
    """Import the program and run it."""
    # Imports make many objects and hardly any garbage, so collections meanwhile find nothing, and
    # later ones need not look at what was imported.
    gc.disable()
    from briarspur.platform import gateway

    gc.freeze()
    gc.enable()
    return gateway.main()


if __name__ == "__main__":
    sys.exit(main())
