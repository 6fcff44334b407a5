"""Fault soak: servers run requests, and their responses can be mistaken for rejections."""

import asyncio
import random
import signal
import time
from collections.abc import Callable
from typing import Any

from standins.launcher import Launcher
from tools.soakparts import NOT_RUN_STATUSES, SoakDeployment

__all__ = ["HEALTHY", "ResponseFaults"]

MISDIRECTED = 421
"""Status of a server that is not the expected one, whatever it sends with it."""
STATUSES = sorted(NOT_RUN_STATUSES - {MISDIRECTED})
HEALTHY: dict[str, Any] = {
    "error_share": 0.0,
    "error_status": 500,
    "signs_errors": True,
    "omits_ids": False,
    "stray_share": 0.0,
}


class ResponseFaults:
    """Lets servers fail with the statuses of rejections, and reject requests without their ids.

    Parameters
    ----------
    on_failing : callable
        Called with the Unix time at which servers began to fail, once they no longer do.
    """

    def __init__(
        self,
        rng: random.Random,
        deployment: SoakDeployment,
        launcher: Launcher,
        on_failing: Callable[[float], None],
    ) -> None:
        self._rng = rng
        self._deployment = deployment
        self._launcher = launcher
        self._on_failing = on_failing

    async def repeat(self, until: float) -> None:
        """Let the servers of one process after the other respond so until a Unix time."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 3.0))
            if time.time() > until:
                return
            process = self._rng.choice(list(self._deployment.targets_by_process))
            started_at = time.time()
            self.set_responses(process, self.draw_responses())
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))
            self.set_responses(process, HEALTHY)
            self._on_failing(started_at)

    def draw_responses(self) -> dict[str, Any]:
        """Return settings of servers that run requests and respond in one of these ways."""
        if self._rng.random() < 0.5:
            return HEALTHY | {
                "stray_share": self._rng.uniform(0.02, 0.2),
                "omits_ids": self._rng.random() < 0.5,
            }
        return HEALTHY | {
            "error_share": self._rng.uniform(0.05, 0.4),
            "error_status": self._rng.choice(STATUSES),
            "signs_errors": self._rng.random() < 0.5,
        }

    def set_responses(self, process: str, settings: dict[str, Any]) -> None:
        """Let the servers of a process respond by some settings of theirs."""
        for item in self._deployment.targets_by_process[process]:
            item.update(settings)
        self._deployment.write_targets(process)
        self._launcher.signal(process, signal.SIGHUP)
