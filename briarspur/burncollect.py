"""Collect the service-level counts of all entries into the store once a minute."""

import asyncio
import contextlib
import logging
import math
import time
from collections.abc import Callable
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, ValidationError

from briarspur import logs
from briarspur.collect import Collector, MinuteCounts
from briarspur.coord.errors import StoreError
from briarspur.errors import DocumentError, PeerError
from briarspur.fetch import Endpoint, Fetcher
from briarspur.levelhistory import LevelHistory
from briarspur.levels import LEVELS_PATH, LevelsDocument
from briarspur.policy import Policy, compile_policy
from briarspur.porcelain import Directory
from briarspur.repository import PolicyRepository
from briarspur.windows import HOUR_S, SLOT_S

__all__ = ["BurnCollector", "BurnStatus", "EntryLevels", "LevelsReader"]

COLLECT_DELAY_S = 2.0
"""Time between the end of a minute and reading the entries."""

MAX_READY_AGE_S = 3 * SLOT_S
"""Age of the last collection up to which the daemon is ready."""

MAX_CONCURRENT_READS = 20
STANDBY_MINUTES = 2
"""Minutes that a standby buffers: the time that the lease takes to change holders, and one more."""

MAX_PENDING_MINUTES = 360
"""Maximum unwritten minutes per service; older ones are dropped and remain missing."""


@dataclass(frozen=True, slots=True)
class EntryLevels:
    """Documents of the entries that responded, and reasons by entry id for those that failed."""

    documents: tuple[LevelsDocument, ...]
    failures_by_entry: dict[str, str]


class LevelsReader:
    """Reads the counts of all entries."""

    def __init__(self, directory: Directory, fetcher: Fetcher) -> None:
        self._directory = directory
        self._fetcher = fetcher
        self._endpoints: list[Endpoint] = []

    async def read(self) -> EntryLevels:
        """Fetch the counts of every entry on the list of VMs, with bounded concurrency.

        While the list is unavailable, the last one is used, so that an outage of the platform does
        not look as if no entry responded.
        """
        with contextlib.suppress(StoreError):
            self._endpoints = await self._directory.endpoints()
        endpoints = self._endpoints
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_READS)

        async def fetch(endpoint: Endpoint) -> LevelsDocument | str:
            async with semaphore:
                return await self._fetch(endpoint)

        results = await asyncio.gather(*(fetch(endpoint) for endpoint in endpoints))
        failures = {
            endpoint.name: result
            for endpoint, result in zip(endpoints, results, strict=True)
            if isinstance(result, str)
        }
        documents = tuple(result for result in results if isinstance(result, LevelsDocument))
        return EntryLevels(documents, failures)

    async def _fetch(self, endpoint: Endpoint) -> LevelsDocument | str:
        try:
            return LevelsDocument.model_validate(
                await self._fetcher.get_json(endpoint, LEVELS_PATH)
            )
        except PeerError:
            return "no answer"
        except ValidationError:
            return "malformed answer"


class BurnStatus(BaseModel):
    """State of one ``briarspur-burn`` process, served on the status page.

    Attributes
    ----------
    ready : bool
        Whether the last collection is recent enough.
    writes : bool
        Whether it is the process that writes to the store; the others are standbys.
    """

    model_config = ConfigDict(frozen=True)

    ready: bool = False
    writes: bool = False
    seconds_since_collected: float | None = None
    minutes_waiting: int = 0
    policy_version: int = 0


class BurnCollector:
    """Collects the counts of all entries once a minute until it is stopped.

    Parameters
    ----------
    may_write : callable
        Returns whether this process is the one that writes; the others are standbys.
    wall : callable
        Returns the Unix time in seconds.
    """

    def __init__(
        self,
        repository: PolicyRepository,
        reader: LevelsReader,
        history: LevelHistory,
        may_write: Callable[[], bool],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._repository = repository
        self._reader = reader
        self._history = history
        self._may_write = may_write
        self._wall = wall
        self._collector = Collector()
        self._policy: Policy | None = None
        self._pending_by_service: dict[str, list[MinuteCounts]] = {}
        self._collected_at = -math.inf

    def status(self) -> BurnStatus:
        """Return the content of the status page."""
        age = self._wall() - self._collected_at
        return BurnStatus(
            ready=age < MAX_READY_AGE_S,
            writes=self._may_write(),
            seconds_since_collected=age if math.isfinite(age) else None,
            minutes_waiting=sum(len(minutes) for minutes in self._pending_by_service.values()),
            policy_version=self._policy.version if self._policy is not None else 0,
        )

    async def run(self) -> None:
        """Collect once a minute forever; a failure is logged and the next minute is tried."""
        while True:
            await asyncio.sleep(SLOT_S - self._wall() % SLOT_S + COLLECT_DELAY_S)
            try:
                await self.collect()
            except (StoreError, DocumentError) as error:
                logs.event("levels-not-collected", logging.WARNING, error=str(error))

    async def collect(self) -> None:
        """Read the entries, and write the minute that has ended and those that are pending.

        A standby also reads the entries and buffers the last minutes. After a takeover its first
        difference then covers one minute, so it repeats no counts of the previous writer, and it
        writes the minutes that the previous writer lost.
        """
        await self._read_policy()
        if self._policy is None:
            return
        levels = await self._reader.read()
        now = self._wall()
        counts_by_service = self._collector.collect(
            now, self._policy.services_by_name, levels.documents, levels.failures_by_entry
        )
        for service, minute in counts_by_service.items():
            pending = self._pending_by_service.setdefault(service, [])
            pending.append(minute)
            if not self._may_write():
                del pending[:-STANDBY_MINUTES]
                continue
            del pending[:-MAX_PENDING_MINUTES]
            await self._write_pending(service, pending)
            if now % HOUR_S < SLOT_S + COLLECT_DELAY_S:
                await self._history.delete_expired(service, now)
        self._collected_at = now

    async def _read_policy(self) -> None:
        """Read the policy in force; while the store is down, keep the last one."""
        try:
            current = await self._repository.current()
        except StoreError:
            return
        self._policy = compile_policy(current.document, current.version) if current else None

    async def _write_pending(self, service: str, pending: list[MinuteCounts]) -> None:
        """Write the pending minutes, the oldest first; after a failure the others remain."""
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
