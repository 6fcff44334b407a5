"""Checks whether the servers at which suspected requests were lost are still running."""

from collections.abc import Callable
from typing import Any

from briarspur.gateway.pool import ConnectionPool
from briarspur.gateway.serverprobe import ServerProbe
from briarspur.gateway.steering import Steering

__all__ = ["CrashChecks"]


class CrashChecks:
    """Confirms or refutes losses by connecting to the servers, and by their registrations.

    Parameters
    ----------
    is_registry_current : callable
        Returns whether the known registrations are up to date.
    """

    def __init__(
        self,
        steering: Steering,
        pool: ConnectionPool,
        is_registry_current: Callable[[], bool],
        reactor: Any,
    ) -> None:
        self._steering = steering
        self._pool = pool
        self._is_registry_current = is_registry_current
        self._reactor = reactor

    def tick(self, now: float) -> None:
        """Make the checks that are due, and drop losses that are too old."""
        suspects = self._steering.suspects
        if self._is_registry_current():
            suspects.record_registered(self._steering.targets.by_number, now)
        for number in suspects.targets_to_check(now):
            self._check(number, now)
        suspects.forget(now)

    def _check(self, number: int, started: float) -> None:
        target = self._steering.targets.by_number.get(number)
        if target is None:
            return

        def ended(was_reached: bool) -> None:
            # If it was, another incarnation may have accepted the connection.
            if not was_reached:
                now = self._reactor.seconds()
                self._steering.suspects.record_unreachable(number, started, now)

        ServerProbe(target, self._pool, self._reactor.callLater, ended).start()
