"""An entry that chooses targets by the alternative in its settings; for experiments only."""

import asyncio
import random
import sys
from collections.abc import Sequence
from typing import Any, cast

from briarspur.core import Core, CoreSettings
from briarspur.daemon import run
from briarspur.entry import EntryDaemon
from briarspur.errors import PeerError
from briarspur.fetch import Endpoint, HttpFetcher
from briarspur.node import EntryNode
from briarspur.policy import Target
from briarspur.settings import EntrySettings
from standins.alternatives import Alternative, DelayedLoads, make_chooser, make_slot_rule

__all__ = ["TrialEntry", "TrialSettings", "main"]

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 1.0


class TrialSettings(EntrySettings):
    """Settings of an entry, plus the alternative to use."""

    alternative: Alternative


class TrialEntry(EntryDaemon):
    """An entry whose core uses the slot rule and the chooser of an alternative."""

    def __init__(self, settings: TrialSettings) -> None:
        alternative = settings.alternative
        loads = DelayedLoads()

        class TrialCore(Core):
            def __init__(
                self,
                me: str,
                region: str,
                incarnation: str,
                rng: random.Random,
                now: float,
                core_settings: CoreSettings | None = None,
            ) -> None:
                chooser = make_chooser(alternative, rng, loads)
                rule = make_slot_rule(alternative)
                super().__init__(me, region, incarnation, rng, now, core_settings, rule, chooser)

        class TrialNode(EntryNode):
            core_type: type[Core] = TrialCore

        self.node_type = TrialNode
        self._loads = loads
        self._polls = alternative is Alternative.TWO_CHOICES
        super().__init__(settings)

    async def start(self) -> None:
        """Start the entry, and poll the targets if the alternative needs their reports."""
        await super().start()
        if self._polls:
            self._start(self._poll())

    async def _poll(self) -> None:
        from twisted.internet import reactor

        fetcher = HttpFetcher(cast(Any, reactor), POLL_TIMEOUT_S)
        while True:
            await asyncio.gather(*(self._poll_target(fetcher, t) for t in self._targets()))
            await asyncio.sleep(POLL_INTERVAL_S)

    def _targets(self) -> Sequence[Target]:
        policy = self.node.policy
        if policy is None:
            return ()
        return [t for t in policy.targets_by_id.values() if t.region == self.node.region]

    async def _poll_target(self, fetcher: HttpFetcher, target: Target) -> None:
        endpoint = Endpoint(target.target_id, target.address.host, target.address.port)
        try:
            load = await fetcher.get_json(endpoint, "/load")
        except PeerError:
            return
        now = asyncio.get_running_loop().time()
        self._loads.report(target.target_id, int(load["in_flight"]), now)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the entry."""
    return run("standins.trialentry", TrialSettings, TrialEntry, argv)


if __name__ == "__main__":
    sys.exit(main())
