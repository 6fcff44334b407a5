"""Common ``main`` of all daemons: arguments, settings, event loop, signals, graceful stop."""

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
from briarspur.unhandled import errors

__all__ = ["EXIT_FAILED", "EXIT_OK", "EXIT_SETTINGS", "Daemon", "run", "run_file"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2

S = TypeVar("S", bound=LoggedSettings)


class Daemon(Protocol):
    """A program that runs until it receives a signal to stop."""

    async def start(self) -> None:
        """Start to listen; return when requests can be accepted."""

    async def stop(self) -> None:
        """Finish everything in flight, then return; called once."""


@runtime_checkable
class Reloadable(Protocol):
    """A daemon that keeps running on SIGHUP, which announces a change of its settings file.

    Without a handler, SIGHUP terminates the process and every request in it.
    """

    def reload(self) -> None:
        """Handle a possible change of the settings file."""


def run(
    name: str, model: type[S], build: Callable[[S], Daemon], argv: Sequence[str] | None = None
) -> int:
    """Run a daemon until SIGTERM or SIGINT; return its exit code.

    Parameters
    ----------
    name : str
        The program's name, shown in its help and its log.
    model : type
        The pydantic model of its settings.
    build : callable
        Creates the daemon from its settings; called inside the running loop.
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
    """Run the daemon on the event loop that Twisted and grpclib share."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    from twisted.internet import asyncioreactor

    asyncioreactor.install(loop)
    from twisted.internet import reactor as installed_reactor

    reactor = cast(asyncioreactor.AsyncioSelectorReactor, installed_reactor)
    errors.watch(loop)
    serve_task = loop.create_task(_serve(name, build))
    serve_task.add_done_callback(lambda _: reactor.stop())
    # The reactor's own signal handlers would stop it immediately; those that _serve installs let
    # requests in flight finish first.
    reactor.run(installSignalHandlers=False)
    error = serve_task.exception()
    if error is None:
        return EXIT_OK
    logs.event("internal-error", logging.ERROR, daemon=name, error=repr(error))
    return EXIT_FAILED


async def _serve(name: str, build: Callable[[], Daemon]) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    # A second SIGTERM during the stop has no effect: the stop remains graceful.
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
