"""Collecting service-level counts from all entries, a minute at a time, into the store."""

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

__all__ = ["Burn", "BurnReader", "BurnStatus", "EntryLevels"]

SETTLE_S = 2.0
"""Seconds after a minute's end at which entries are read."""

READY_S = 3 * SLOT_S
"""Seconds after the last collection for which the daemon counts as ready."""

ASKED_AT_ONCE = 20
TAKEOVER_MINUTES = 2
"""Minutes that a standby holds: what the lease needs to change hands, and one more."""

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
        self._endpoints: list[Endpoint] = []

    async def read(self) -> EntryLevels:
        """Ask every entry on the list of VMs, a few at once.

        While the list can't be read, the last one is used: an outage of the platform must not look
        like silence of all entries.
        """
        with contextlib.suppress(StoreError):
            self._endpoints = await self._directory.endpoints()
        endpoints = self._endpoints
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


class BurnStatus(BaseModel):
    """What one ``briarspur-burn`` knows of itself.

    Attributes
    ----------
    ready : bool
        It collected within the last minutes.
    writes : bool
        It is the one that writes; the others stand by.
    """

    model_config = ConfigDict(frozen=True)

    ready: bool = False
    writes: bool = False
    seconds_since_collected: float | None = None
    minutes_waiting: int = 0
    policy_version: int = 0


class Burn:
    """Collects once a minute until it is stopped.

    Parameters
    ----------
    may_write : callable
        Whether this process is the one that writes; the others stand by.
    wall : callable
        Unix time in seconds.
    """

    def __init__(
        self,
        repository: PolicyRepository,
        reader: BurnReader,
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
        """Return what the status page shows."""
        age = self._wall() - self._collected_at
        return BurnStatus(
            ready=age < READY_S,
            writes=self._may_write(),
            seconds_since_collected=age if math.isfinite(age) else None,
            minutes_waiting=sum(len(minutes) for minutes in self._pending_by_service.values()),
            policy_version=self._policy.version if self._policy is not None else 0,
        )

    async def run(self) -> None:
        """Collect for ever; a failure is logged and the next minute is tried."""
        while True:
            await asyncio.sleep(SLOT_S - self._wall() % SLOT_S + SETTLE_S)
            try:
                await self.collect()
            except (StoreError, DocumentError) as error:
                logs.event("levels-not-collected", logging.WARNING, error=str(error))

    async def collect(self) -> None:
        """Read the entries, and write the minute that has ended and those that wait.

        Who may not write reads all the same and holds the last minutes: when it takes over, its
        first difference is over one minute, so it counts nothing that another has counted, and
        the minutes that died with the other are written.
        """
        await self._read_policy()
        if self._policy is None:
            return
        levels = await self._reader.read()
        now = self._wall()
        counted = self._collector.collect(
            now, self._policy.services_by_name, levels.documents, levels.failures_by_entry
        )
        for service, minute in counted.items():
            pending = self._pending_by_service.setdefault(service, [])
            pending.append(minute)
            if not self._may_write():
                del pending[:-TAKEOVER_MINUTES]
                continue
            del pending[:-MAX_PENDING]
            await self._write(service, pending)
            if now % HOUR_S < SLOT_S + SETTLE_S:
                await self._history.delete_expired(service, now)
        self._collected_at = now

    async def _read_policy(self) -> None:
        """Read the services to collect; while the store is down, those of the last policy."""
        try:
            current = await self._repository.current()
        except StoreError:
            return
        self._policy = compile_policy(current.document, current.version) if current else None

    async def _write(self, service: str, pending: list[MinuteCounts]) -> None:
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
