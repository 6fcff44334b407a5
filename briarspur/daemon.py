"""What every daemon's ``main`` does: arguments, settings, one loop, signals, graceful stop."""

import argparse
import asyncio
import logging
import signal
import sys
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar, cast, runtime_checkable

from briarspur import logs
from briarspur.documents import load_settings
from briarspur.errors import SettingsError
from briarspur.processsettings import LoggedSettings

__all__ = ["EXIT_FAILED", "EXIT_OK", "EXIT_SETTINGS", "Daemon", "run", "run_file"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2

S = TypeVar("S", bound=LoggedSettings)


class Daemon(Protocol):
    """A program that runs until it is told to stop."""

    async def start(self) -> None:
        """Listen; return once requests can come."""

    async def stop(self) -> None:
        """End what is in flight, then return; called once."""


@runtime_checkable
class Reloadable(Protocol):
    """A daemon that goes on when its settings file has changed.

    Without a handler SIGHUP ends a process, and every request that it carries.
    """

    def reload(self) -> None:
        """Take note that the settings file may have changed."""


def run(
    name: str, model: type[S], build: Callable[[S], Daemon], argv: Sequence[str] | None = None
) -> int:
    """Run a daemon until SIGTERM or SIGINT; return its exit code.

    Parameters
    ----------
    name : str
        The program's name, for its help and its log.
    model : type
        The model of its settings.
    build : callable
        Makes the daemon from its settings; called inside the running loop.
    """
    parser = argparse.ArgumentParser(prog=name)
    parser.add_argument("--settings", required=True, help="JSON file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    arguments = parser.parse_args(argv)
    return run_file(name, model, build, arguments.settings, arguments.check)


def run_file(
    name: str,
    model: type[S],
    build: Callable[[S], Daemon],
    path: str,
    check: bool = False,
) -> int:
    """Run a daemon with the settings file at ``path``, or only check the file."""
    try:
        settings = load_settings(model, path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    if check:
        print(f"{path}: ok")
        return EXIT_OK
    logs.configure(settings.log_level)
    return _run_loop(name, lambda: build(settings))


def _run_loop(name: str, build: Callable[[], Daemon]) -> int:
    """Run the daemon on the one loop that Twisted and grpclib share."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    from twisted.internet import asyncioreactor

    asyncioreactor.install(loop)
    from twisted.internet import reactor as installed

    reactor = cast(asyncioreactor.AsyncioSelectorReactor, installed)
    serving = loop.create_task(_serve(name, build))
    serving.add_done_callback(lambda _: reactor.stop())
    # The reactor's own handlers would stop it at once; ours let requests in flight end first.
    reactor.run(installSignalHandlers=False)
    error = serving.exception()
    if error is None:
        return EXIT_OK
    logs.event("internal-error", logging.ERROR, daemon=name, error=repr(error))
    return EXIT_FAILED


async def _serve(name: str, build: Callable[[], Daemon]) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    # A second SIGTERM while stopping changes nothing: the stop stays graceful.
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    daemon = build()
    if isinstance(daemon, Reloadable):
        loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    await daemon.start()
    logs.event("started", daemon=name)
    await stop.wait()
    logs.event("stopping", daemon=name)
    await daemon.stop()
    logs.event("stopped", daemon=name)
