"""The program ``briarspur-steer``: plans shifts of traffic while it holds the lease.

Every entry VM runs one instance; the holder of the lease plans, the others are standbys. Entries
follow the last plan, so they keep working while no process holds the lease or the store is down.
"""

import asyncio
import contextlib
import logging
import secrets
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from briarspur import daemon, logs
from briarspur.coord.invariants import invariants
from briarspur.coord.lease import FencedWriter, Lease
from briarspur.coord.sweep import Sweeper, hex_prefixes
from briarspur.coord.writer import ConditionalWriter
from briarspur.loadcollector import LoadCollector
from briarspur.metrics import Metrics, NullMetrics, StatsdMetrics
from briarspur.objects import VmList, open_store
from briarspur.peers import PeerClient, PeerClientSettings
from briarspur.plan import PLAN_NAME
from briarspur.planner import Planner
from briarspur.settings import SteerSettings
from briarspur.statuspage import status_site
from briarspur.steerround import PolicyReader, SteerRounds
from briarspur.steerstatus import SteerStatus

__all__ = ["LEASE_NAME", "SteerDaemon", "main"]

LEASE_NAME = "steer"
RENEWALS_PER_LEASE = 3
LISTEN_BACKLOG = 50
LOAD_TIMEOUT_S = 1.0
SWEEP_INTERVAL_S = 5.0
KEY_RETENTION_S = 2 * 86_400.0
"""Age above which claims and outcomes of keys are deleted; a key is valid for at most a day."""


class SteerDaemon:
    """Competes for the lease, and plans while it holds it."""

    def __init__(self, settings: SteerSettings) -> None:
        from twisted.internet import reactor

        self._settings = settings
        self._reactor: Any = reactor
        self._port: Any = None
        self._tasks: list[asyncio.Task[None]] = []
        self._metrics: Metrics = NullMetrics()
        if settings.statsd is not None:
            self._metrics = StatsdMetrics(settings.statsd)
        self._store = open_store(settings.platform)
        self._vms = VmList(self._store)
        self._peers = PeerClient(PeerClientSettings(fetch_timeout=LOAD_TIMEOUT_S))
        # A restarted process must not mistake the lease of its predecessor for its own.
        self._holder = f"{settings.holder_id}/{secrets.token_hex(8)}"
        writer = ConditionalWriter(self._store, lambda: secrets.token_hex(16))
        self._lease = Lease(
            self._store,
            LEASE_NAME,
            self._holder,
            settings.lease_s,
            (PLAN_NAME,),
            time.monotonic,
            writer,
        )
        self._sweeper = Sweeper(
            self._store,
            [*hex_prefixes("claims/"), *hex_prefixes("outcomes/")],
            KEY_RETENTION_S,
            time.time,
        )
        self._policy_reader = PolicyReader(self._store)
        self._rounds = SteerRounds(
            self._lease,
            FencedWriter(self._lease, PLAN_NAME, writer),
            self._policy_reader,
            Planner(settings.holder_id),
            LoadCollector(self._vms, self._peers).collect,
            time.monotonic,
            self._metrics,
        )

    async def start(self) -> None:
        """Listen for status requests and start to compete for the lease."""
        settings = self._settings
        site = status_site(self.status)
        self._port = self._reactor.listenTCP(
            settings.status_port, site, LISTEN_BACKLOG, settings.host
        )
        loop = asyncio.get_running_loop()
        renewal_interval_s = settings.lease_s / RENEWALS_PER_LEASE
        self._tasks = [
            loop.create_task(_repeat(self._renew_lease, renewal_interval_s)),
            loop.create_task(_repeat(self._run_round, settings.plan_interval_s)),
            loop.create_task(_repeat(self._sweep, SWEEP_INTERVAL_S)),
        ]

    async def stop(self) -> None:
        """Stop planning, and release the lease so that a standby need not wait until it expires."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._port is not None:
            self._port.stopListening()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.platform.timeout_s):
                await self._lease.release()
        self._peers.close()
        await self._store.close()

    def status(self) -> SteerStatus:
        """Return the content of the status page."""
        plan = self._rounds.last_plan
        headroom: dict[str, dict[str, float]] = {}
        for (service, region), rate in sorted(self._rounds.headroom.items()):
            headroom.setdefault(service, {})[region] = round(rate, 1)
        return SteerStatus(
            holder_id=self._settings.holder_id,
            ready=bool(self._tasks) and not any(task.done() for task in self._tasks),
            holds_lease=self._lease.is_held(time.monotonic()),
            term=self._lease.term,
            plan_term=plan.term if plan else 0,
            plan_number=plan.number if plan else 0,
            policy_version=self._rounds.policy_version,
            entries_reporting=self._rounds.entries_reporting,
            headroom=headroom,
            invariant_violations=dict(invariants.violations_by_name),
        )

    async def _renew_lease(self) -> None:
        held_before = self._lease.is_held(time.monotonic())
        held = await self._lease.renew_or_acquire()
        if held_before and not held:
            logs.event("lease-lost", logging.WARNING, term=self._lease.term)

    async def _sweep(self) -> None:
        if self._lease.is_held(time.monotonic()):
            deleted = await self._sweeper.step()
            self._metrics.count("swept", amount=deleted)

    async def _run_round(self) -> None:
        await self._rounds.run()


async def _repeat(work: Callable[[], Awaitable[None]], interval_s: float) -> None:
    """Repeat ``work`` at an interval; an internal error is logged and the loop continues."""
    while True:
        try:
            await work()
        except Exception as error:
            logs.event("internal-error", logging.ERROR, daemon="briarspur-steer", error=repr(error))
        await asyncio.sleep(interval_s)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the planner; return its exit code."""
    return daemon.run("briarspur-steer", SteerSettings, SteerDaemon, argv)


if __name__ == "__main__":
    sys.exit(main())
