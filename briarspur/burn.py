"""The program ``briarspur-burn``: collects service-level counts and reports how budgets burn.

As a daemon it reads every entry's counts once a minute and keeps three days in the store. With
``--once`` it prints a report from what there is and ends.
"""

import argparse
import asyncio
import logging
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from pydantic import ValidationError

from briarspur import daemon, logs
from briarspur.burnreport import BurnReport, make_report, report_html, report_text
from briarspur.clicontext import open_context
from briarspur.collect import Collector, Counted
from briarspur.coord.errors import StoreError
from briarspur.documents import load_settings
from briarspur.errors import DocumentError, Fault, PeerError, SettingsError
from briarspur.exits import ExitCode
from briarspur.fetch import Endpoint, Fetcher
from briarspur.latency import encode
from briarspur.levelhistory import LevelHistory
from briarspur.levels import LEVELS_PATH, LevelsDocument
from briarspur.levelseries import LevelSeries
from briarspur.oneshot import run_once
from briarspur.policy import Objective, Policy, compile_policy
from briarspur.porcelain import Directory
from briarspur.printing import to_json
from briarspur.repository import PolicyRepository
from briarspur.settings import BurnSettings
from briarspur.windows import HOUR_S, SLOT_S

__all__ = ["Burn", "BurnReader", "EntryLevels", "main", "read_report"]

SETTLE_S = 2.0
"""Seconds after a minute's end at which entries are read."""

ASKED_AT_ONCE = 20
LIVE_NOTE = "sums since each entry started: every window shows the same, and none is known"
MAX_PENDING = 360
"""Minutes a service that wait for the store; older ones are dropped and so stay missing."""


@dataclass(frozen=True, slots=True)
class EntryLevels:
    """What the entries answered, and by entry id why others did not."""

    documents: tuple[LevelsDocument, ...]
    failures_by_entry: dict[str, str]


class BurnReader:
    """Reads all entries' counts."""

    def __init__(self, directory: Directory, fetcher: Fetcher) -> None:
        self._directory = directory
        self._fetcher = fetcher

    async def read(self) -> EntryLevels:
        """Ask every entry on the list of VMs, a few at once."""
        endpoints = await self._directory.endpoints()
        gate = asyncio.Semaphore(ASKED_AT_ONCE)

        async def ask(endpoint: Endpoint) -> LevelsDocument | str:
            async with gate:
                return await self._ask(endpoint)

        answers = await asyncio.gather(*(ask(endpoint) for endpoint in endpoints))
        failures = {
            endpoint.name: answer
            for endpoint, answer in zip(endpoints, answers, strict=True)
            if isinstance(answer, str)
        }
        documents = tuple(answer for answer in answers if isinstance(answer, LevelsDocument))
        return EntryLevels(documents, failures)

    async def _ask(self, endpoint: Endpoint) -> LevelsDocument | str:
        try:
            return LevelsDocument.model_validate(
                await self._fetcher.get_json(endpoint, LEVELS_PATH)
            )
        except PeerError:
            return "no answer"
        except ValidationError:
            return "malformed answer"


class Burn:
    """Collects once a minute until it is stopped.

    Parameters
    ----------
    wall : callable
        Unix time in seconds.
    """

    def __init__(
        self,
        repository: PolicyRepository,
        reader: BurnReader,
        history: LevelHistory,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._repository = repository
        self._reader = reader
        self._history = history
        self._wall = wall
        self._collector = Collector()
        self._pending_by_service: dict[str, list[Counted]] = {}

    async def run(self) -> None:
        """Collect for ever; a failure is logged and the next minute is tried."""
        while True:
            await asyncio.sleep(SLOT_S - self._wall() % SLOT_S + SETTLE_S)
            try:
                await self.collect()
            except (StoreError, DocumentError) as error:
                logs.event("levels-not-collected", logging.WARNING, error=str(error))

    async def collect(self) -> None:
        """Read the entries, and write the minute that has ended and those that wait."""
        now = self._wall()
        policy = await self._policy()
        if policy is None:
            return
        levels = await self._reader.read()
        counted = self._collector.take(
            now, policy.services_by_name, levels.documents, levels.failures_by_entry
        )
        for service, minute in counted.items():
            pending = self._pending_by_service.setdefault(service, [])
            pending.append(minute)
            del pending[:-MAX_PENDING]
            await self._write(service, pending)
            if now % HOUR_S < SLOT_S + SETTLE_S:
                await self._history.forget(service, now)

    async def _policy(self) -> Policy | None:
        current = await self._repository.current()
        return compile_policy(current.document, current.version) if current else None

    async def _write(self, service: str, pending: list[Counted]) -> None:
        """Write the minutes that wait, the oldest first; what cannot be written waits on."""
        while pending:
            try:
                await self._history.write(service, pending[0])
            except StoreError as error:
                logs.event(
                    "levels-not-written",
                    logging.WARNING,
                    service=service,
                    waiting=len(pending),
                    error=str(error),
                )
                return
            del pending[0]


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
    counted = collector.take(now, policy.services_by_name, fresh, levels.failures_by_entry)
    series: dict[str, LevelSeries] = {}
    for service, found in counted.items():
        series[service] = LevelSeries()
        series[service].add(found.slot, encode(found.latency))
    return make_report(policy.user, _objectives(policy, None), series, now, LIVE_NOTE)


class _Daemon:
    """Runs :class:`Burn` on the platform that the settings name."""

    def __init__(self, settings: str) -> None:
        self._settings = settings
        self._running: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to collect."""
        self._running = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        async with open_context(self._settings, False, "briarspur-burn") as context:
            reader = BurnReader(context.directory, context.fetcher)
            await Burn(context.repository, reader, LevelHistory(context.store)).run()

    async def stop(self) -> None:
        """End; a minute that is not yet written stays missing."""
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
            "briarspur-burn", BurnSettings, lambda _: _Daemon(arguments.settings), passed_on
        )
    try:
        return run_once(lambda: _once(arguments))
    except DocumentError as error:
        print(error, file=sys.stderr)
        return ExitCode.INVALID
    except StoreError as error:
        print(f"the store is unavailable: {error}", file=sys.stderr)
        return ExitCode.STORE_UNAVAILABLE


async def _once(arguments: argparse.Namespace) -> ExitCode:
    load_settings(BurnSettings, arguments.settings)
    async with open_context(arguments.settings, arguments.json, "briarspur-burn") as context:
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
