"""Connects to some backend servers to find out whether this entry reaches any of them."""

import random
from typing import Any

from briarspur.gateway.pool import ConnectionPool
from briarspur.gateway.reachability import PROBES_PER_ROUND, Reachability
from briarspur.gateway.serverprobe import ServerProbe
from briarspur.gateway.target import Target
from briarspur.gateway.targettable import TargetTable

__all__ = ["ReachProbes"]


class ReachProbes:
    """Makes the rounds of probes that :class:`Reachability` asks for."""

    def __init__(
        self,
        reachability: Reachability,
        targets: TargetTable,
        pool: ConnectionPool,
        reactor: Any,
        rng: random.Random,
    ) -> None:
        self._reachability = reachability
        self._targets = targets
        self._pool = pool
        self._reactor = reactor
        self._rng = rng
        self._pending = 0
        self._reached = 0
        self._probed = 0

    def tick(self, now: float) -> None:
        """Begin a round if one is due."""
        if not self._reachability.begin_round(len(self._targets), now):
            return
        targets = self._choose()
        self._pending = self._probed = len(targets)
        self._reached = 0
        for target in targets:
            ServerProbe(target, self._pool, self._reactor.callLater, self._probe_ended).start()

    def _choose(self) -> list[Target]:
        """Return some servers, of different zones as far as possible."""
        targets = sorted(self._targets.by_number.values(), key=lambda target: target.number)
        self._rng.shuffle(targets)
        by_zone: dict[str, Target] = {}
        for target in targets:
            by_zone.setdefault(target.registration.zone, target)
        first = list(by_zone.values())
        others = [target for target in targets if target not in first]
        return [*first, *others][:PROBES_PER_ROUND]

    def _probe_ended(self, was_reached: bool) -> None:
        self._pending -= 1
        self._reached += was_reached
        if not self._pending:
            now = self._reactor.seconds()
            self._reachability.end_round(self._reached, self._probed, len(self._targets), now)
