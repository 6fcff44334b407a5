"""The program ``briarspur-burn``: collects service-level counts and reports error budget burn.

As a daemon it reads the counts of every entry once a minute and keeps three days in the store. With
``--once`` it prints a report on the stored data and exits.
"""

import argparse
import asyncio
import sys
import time
import uuid
from collections.abc import Mapping, Sequence
from typing import Any, cast

from briarspur import daemon, logs
from briarspur.burncollect import BurnCollector, BurnStatus, LevelsReader
from briarspur.burnreport import BurnReport, make_report, report_html, report_text
from briarspur.clicontext import handle_broken_pipe, open_context
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
RENEWALS_PER_LEASE = 3
LIVE_NOTE = (
    "totals since each entry started: all windows show the same counts, and coverage is unknown"
)


async def read_report(
    repository: PolicyRepository, history: LevelHistory, services: Sequence[str] | None, now: float
) -> BurnReport | None:
    """Return the report on the stored data; None without a policy.

    Parameters
    ----------
    services : sequence of str or None
        Services to report; None for all.
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
    repository: PolicyRepository, reader: LevelsReader, now: float
) -> BurnReport | None:
    """Return a report on the counts since each entry started, as a single minute.

    For use when no collector has run: the totals are correct, but not divided into windows.
    """
    current = await repository.current()
    if current is None:
        return None
    policy = compile_policy(current.document, current.version)
    levels = await reader.read()
    collector = Collector()
    documents = [d.model_copy(update={"uptime_s": 0.0}) for d in levels.documents]
    counts_by_service = collector.collect(
        now, policy.services_by_name, documents, levels.failures_by_entry
    )
    series: dict[str, LevelSeries] = {}
    for service, minute in counts_by_service.items():
        series[service] = LevelSeries()
        series[service].add(minute.slot, encode(minute.latency))
    return make_report(policy.user, _objectives(policy, None), series, now, LIVE_NOTE)


def _make_lease(store: ObjectStore) -> Lease:
    """Return the lease that is held by the process that writes to the store."""
    writer = ConditionalWriter(store, lambda: uuid.uuid4().hex)
    return Lease(store, "burn", uuid.uuid4().hex, LEASE_S, (), time.monotonic, writer)


async def _keep_lease(lease: Lease) -> None:
    while True:
        await lease.renew_or_acquire()
        await asyncio.sleep(LEASE_S / RENEWALS_PER_LEASE)


PROGRAM_NAME = "briarspur-burn"


class _Daemon:
    """Runs :class:`BurnCollector` on the configured platform."""

    def __init__(self, path: str, settings: BurnSettings) -> None:
        self._path = path
        self._settings = settings
        self._collector: BurnCollector | None = None
        self._port: Any = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve the status page and start to collect."""
        from twisted.internet import reactor

        site = status_site(self._status)
        port, host = self._settings.status_port, self._settings.host
        self._port = cast(Any, reactor).listenTCP(port, site, interface=host)
        logs.event("status-page", host=host, port=self._port.getHost().port)
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        async with open_context(self._path, False, PROGRAM_NAME, BurnSettings) as context:
            reader = LevelsReader(context.directory, context.fetcher)
            history = LevelHistory(context.store)
            lease = _make_lease(context.store)
            collector = BurnCollector(
                context.repository, reader, history, lambda: lease.may_be_held
            )
            self._collector = collector
            try:
                await asyncio.gather(collector.run(), _keep_lease(lease))
            finally:
                await lease.release()

    def _status(self) -> BurnStatus:
        return self._collector.status() if self._collector is not None else BurnStatus()

    async def stop(self) -> None:
        """Stop; minutes that are not yet written remain missing."""
        if self._port is not None:
            self._port.stopListening()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)


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
        daemon_arguments = ["--settings", arguments.settings]
        daemon_arguments += ["--check"] if arguments.check else []
        return daemon.run(
            "briarspur-burn",
            BurnSettings,
            lambda s: _Daemon(arguments.settings, s),
            daemon_arguments,
        )
    try:
        return run_once(lambda: _print_report(arguments))
    except BrokenPipeError:
        return handle_broken_pipe()
    except DocumentError as error:
        print(error, file=sys.stderr)
        return ExitCode.INVALID
    except StoreError as error:
        print(f"the store is unavailable: {error}", file=sys.stderr)
        return ExitCode.STORE_UNAVAILABLE


async def _print_report(arguments: argparse.Namespace) -> ExitCode:
    load_settings(BurnSettings, arguments.settings)
    async with open_context(
        arguments.settings, arguments.json, PROGRAM_NAME, BurnSettings
    ) as context:
        if arguments.live:
            reader = LevelsReader(context.directory, context.fetcher)
            report = await live_report(context.repository, reader, time.time())
        else:
            history = LevelHistory(context.store)
            report = await read_report(context.repository, history, arguments.service, time.time())
    if report is None:
        print("no policy is in force", file=sys.stderr)
        return ExitCode.REFUSED
    if arguments.html:
        _write_file(arguments.html, report_html(report))
    print(to_json(report) if arguments.json else report_text(report))
    return ExitCode.OK


def _write_file(path: str, text: str) -> None:
    try:
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
    except OSError as error:
        raise SettingsError(path, [Fault("(file)", str(error))]) from error


if __name__ == "__main__":
    sys.exit(main())
