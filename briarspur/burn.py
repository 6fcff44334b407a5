"""The program ``briarspur-burn``: collects service-level counts and reports how budgets burn.

As a daemon it reads every entry's counts once a minute and keeps three days in the store. With
``--once`` it prints a report from what there is and ends.
"""

import argparse
import asyncio
import sys
import time
import uuid
from collections.abc import Mapping, Sequence
from typing import Any, cast

from briarspur import daemon, logs
from briarspur.burncollect import Burn, BurnReader, BurnStatus
from briarspur.burnreport import BurnReport, make_report, report_html, report_text
from briarspur.clicontext import open_context, reader_gone
from briarspur.collect import Collector
from briarspur.coord.errors import StoreError
from briarspur.coord.lease import Lease
from briarspur.coord.store import ObjectStore
from briarspur.coord.writer import ConditionalWriter
from briarspur.documents import load_settings
from briarspur.errors import DocumentError, Fault, SettingsError
from briarspur.exits import ExitCode
from briarspur.latency import encode
from briarspur.levelhistory import LevelHistory
from briarspur.levelseries import LevelSeries
from briarspur.oneshot import run_once
from briarspur.policy import Objective, Policy, compile_policy
from briarspur.printing import to_json
from briarspur.repository import PolicyRepository
from briarspur.settings import BurnSettings
from briarspur.statuspage import status_site

__all__ = ["live_report", "main", "read_report"]

LEASE_S = 30.0
LEASE_STEPS = 3
LIVE_NOTE = "sums since each entry started: every window shows the same, and none is known"


async def read_report(
    repository: PolicyRepository, history: LevelHistory, services: Sequence[str] | None, now: float
) -> BurnReport | None:
    """Return the report on what is in the store; None without a policy.

    Parameters
    ----------
    services : sequence of str or None
        Which services to report; None for all.
    """
    current = await repository.current()
    if current is None:
        return None
    policy = compile_policy(current.document, current.version)
    objectives = _objectives(policy, services)
    series: dict[str, LevelSeries] = {}
    for service in objectives:
        series[service] = await history.read(service, now)
    return make_report(policy.user, objectives, series, now)


def _objectives(policy: Policy, services: Sequence[str] | None) -> Mapping[str, Objective]:
    return {
        name: service.objective
        for name, service in policy.services_by_name.items()
        if services is None or name in services
    }


async def live_report(
    repository: PolicyRepository, reader: BurnReader, now: float
) -> BurnReport | None:
    """Return a report on what entries counted since they started, as one minute.

    It serves where no collector has run: the sums are right, the windows are not known.
    """
    current = await repository.current()
    if current is None:
        return None
    policy = compile_policy(current.document, current.version)
    levels = await reader.read()
    collector = Collector()
    fresh = [d.model_copy(update={"uptime_s": 0.0}) for d in levels.documents]
    counted = collector.collect(now, policy.services_by_name, fresh, levels.failures_by_entry)
    series: dict[str, LevelSeries] = {}
    for service, found in counted.items():
        series[service] = LevelSeries()
        series[service].add(found.slot, encode(found.latency))
    return make_report(policy.user, _objectives(policy, None), series, now, LIVE_NOTE)


def _lease(store: ObjectStore) -> Lease:
    """Return the lease of the one process that collects."""
    writer = ConditionalWriter(store, lambda: uuid.uuid4().hex)
    return Lease(store, "burn", uuid.uuid4().hex, LEASE_S, (), time.monotonic, writer)


async def _keep(lease: Lease) -> None:
    while True:
        await lease.renew_or_acquire()
        await asyncio.sleep(LEASE_S / LEASE_STEPS)


NAME = "briarspur-burn"


class _Daemon:
    """Runs :class:`Burn` on the platform that the settings name."""

    def __init__(self, path: str, settings: BurnSettings) -> None:
        self._path = path
        self._settings = settings
        self._burn: Burn | None = None
        self._listening: Any = None
        self._running: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Show the status page and begin to collect."""
        from twisted.internet import reactor

        site = status_site(self._status)
        port, host = self._settings.status_port, self._settings.host
        self._listening = cast(Any, reactor).listenTCP(port, site, interface=host)
        logs.event("status-page", host=host, port=self._listening.getHost().port)
        self._running = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        async with open_context(self._path, False, NAME, BurnSettings) as context:
            reader = BurnReader(context.directory, context.fetcher)
            history = LevelHistory(context.store)
            lease = _lease(context.store)
            burn = Burn(context.repository, reader, history, lambda: lease.may_be_held)
            self._burn = burn
            try:
                await asyncio.gather(burn.run(), _keep(lease))
            finally:
                await lease.release()

    def _status(self) -> BurnStatus:
        return self._burn.status() if self._burn is not None else BurnStatus()

    async def stop(self) -> None:
        """End; a minute that is not yet written stays missing."""
        if self._listening is not None:
            self._listening.stopListening()
        if self._running is not None:
            self._running.cancel()
            await asyncio.gather(self._running, return_exceptions=True)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the collector, or print a report with ``--once``; return the exit code."""
    parser = argparse.ArgumentParser(prog="briarspur-burn", description=__doc__)
    parser.add_argument("--settings", required=True, help="JSON file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    parser.add_argument("--once", action="store_true", help="print a report and exit")
    parser.add_argument("--live", action="store_true", help="with --once: ask the entries now")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--html", metavar="FILE", help="write the page to a file")
    parser.add_argument("--service", action="append", help="only this service; may be repeated")
    arguments = parser.parse_args(argv)
    if not arguments.once:
        passed_on = ["--settings", arguments.settings]
        passed_on += ["--check"] if arguments.check else []
        return daemon.run(
            "briarspur-burn", BurnSettings, lambda s: _Daemon(arguments.settings, s), passed_on
        )
    try:
        return run_once(lambda: _once(arguments))
    except BrokenPipeError:
        return reader_gone()
    except DocumentError as error:
        print(error, file=sys.stderr)
        return ExitCode.INVALID
    except StoreError as error:
        print(f"the store is unavailable: {error}", file=sys.stderr)
        return ExitCode.STORE_UNAVAILABLE


async def _once(arguments: argparse.Namespace) -> ExitCode:
    load_settings(BurnSettings, arguments.settings)
    async with open_context(arguments.settings, arguments.json, NAME, BurnSettings) as context:
        if arguments.live:
            reader = BurnReader(context.directory, context.fetcher)
            report = await live_report(context.repository, reader, time.time())
        else:
            history = LevelHistory(context.store)
            report = await read_report(context.repository, history, arguments.service, time.time())
    if report is None:
        print("no policy is in force", file=sys.stderr)
        return ExitCode.REFUSED
    if arguments.html:
        _save(arguments.html, report_html(report))
    print(to_json(report) if arguments.json else report_text(report))
    return ExitCode.OK


def _save(path: str, text: str) -> None:
    try:
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
    except OSError as error:
        raise SettingsError(path, [Fault("(file)", str(error))]) from error


if __name__ == "__main__":
    sys.exit(main())
