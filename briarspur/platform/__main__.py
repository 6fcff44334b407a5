"""Entry point of a gateway on the platform."""

import gc
import signal
import sys

from briarspur.gateway.processstart import record_start

__all__ = ["main"]


def main() -> int:
    """Import the gateway and run it."""
    record_start()
    # The default would end a process whose settings change while it starts.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports create many objects and hardly any garbage, so garbage collection during the import
    # is wasted work. Freezing excludes the imported objects from all later collections.
    gc.disable()
    from briarspur.platform import gateway

    gc.freeze()
    gc.enable()
    return gateway.main()


if __name__ == "__main__":
    sys.exit(main())
