"""The ``briarspur-entry`` daemon, which answers look-ups and dispatches requests to targets."""

import asyncio
import contextlib
import gc
import logging
import random
import secrets
import sys
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, cast

from expression import Error, Ok, Result

from briarspur import logs
from briarspur.backend import BackendClient
from briarspur.claimrecovery import ClaimRecovery
from briarspur.coord.address import Address
from briarspur.coord.claimhold import ClaimHold
from briarspur.coord.claimholders import ClaimHolders
from briarspur.coord.claims import Claims
from briarspur.coord.errors import StoreConflictError, StoreError
from briarspur.coord.follower import Follower
from briarspur.coord.heldclaims import HeldClaims
from briarspur.coord.members import Member
from briarspur.coord.membership import Membership
from briarspur.coord.outcomes import OutcomePage, close_and_export
from briarspur.coord.store import ABSENT, StoredObject
from briarspur.core import Core
from briarspur.daemon import run
from briarspur.follow import Follow
from briarspur.keystore import ObjectKeyStore
from briarspur.members import MemberView
from briarspur.metrics import Metrics, NullMetrics, StatsdMetrics
from briarspur.node import EntryNode, NodeClock
from briarspur.notready import NotReady
from briarspur.objectpeers import MemberPeers, newest_copy
from briarspur.objects import VmList, open_store
from briarspur.peering import Peering, PeeringTimes
from briarspur.peers import PeerClient, PeerServer
from briarspur.plan import PLAN_NAME
from briarspur.requestdriver import DriverSettings, RequestDriver
from briarspur.revision import POLICY_NAME, policy_order
from briarspur.server import EntryServer, ServerSettings
from briarspur.settings import EntrySettings
from briarspur.stopping import GracefulStop

__all__ = ["EntryDaemon", "main"]

ANY_HOST = ("0.0.0.0", "::")
DEFAULT_MAX_CONNECTIONS = 350
"""Maximum number of open connections to a target that the policy no longer lists."""
LEAVE_PROPAGATION_PROBES = 5
"""Number of probe intervals after which every other entry knows that this one is leaving."""
MAX_OUTCOME_ATTEMPTS = 20
OUTCOME_RETRY_DELAY_S = 0.5
"""Maximum attempts to write a page of outcomes, and the delay between two attempts."""

BOOTSTRAP_INTERVAL_S = 1.0
BOOTSTRAP_PEERS = 3
"""Mean interval between fetches of the policy from other entries while the store is unavailable and
this process has no policy, and the number of entries that must reply."""


class EntryDaemon:
    """One entry process."""

    node_type: type[EntryNode] = EntryNode

    def __init__(self, settings: EntrySettings) -> None:
        from twisted.internet import reactor

        self._reactor = cast(Any, reactor)
        self.settings = settings
        self._incarnation = secrets.token_hex(8)
        self._clock = NodeClock(monotonic=self._reactor.seconds)
        self.store = open_store(settings.platform)
        self._vms = VmList(self.store)
        # Backend servers then see connections from the address that the VM list has for this entry.
        source = None if settings.host in ANY_HOST else settings.host
        self._client = BackendClient(self._reactor, source=source)
        self._peers = PeerClient()
        self._peering: Peering | None = None
        self._claim_recovery: ClaimRecovery | None = None
        self._peer_server: PeerServer | None = None
        # Probe order and delays must differ between entries, or all would act simultaneously.
        self._rng = random.Random(
            settings.seed if settings.seed is not None else secrets.randbits(64)
        )
        self._metrics: Metrics = NullMetrics()
        if settings.statsd is not None:
            self._metrics = StatsdMetrics(settings.statsd)
        self.node = self.node_type(settings, self._incarnation, self._metrics, self._clock)
        self.node.on_core_created = self._on_core_created
        self._follow = self._make_follow()
        self.node.is_current = lambda: self._follow.is_ready(POLICY_NAME)
        self._driver: RequestDriver | None = None
        self._server = EntryServer(
            self._reactor,
            NotReady(),
            self.node.look_up,
            self.node,
            self._metrics,
            ServerSettings(self._incarnation, settings.limits, settings.entry_id),
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._left_at = -float("inf")

    async def start(self) -> None:
        """Listen for callers and start to follow the policy."""
        settings = self.settings
        ports = self._server.listen(settings.host, settings.caller_port, settings.forward_port)
        self._caller_port, self._forward_port = ports
        await self._follow.__aenter__()
        self._start(self._bootstrap_policy())

    @property
    def caller_port(self) -> int:
        """The port on which callers connect."""
        return self._caller_port

    @property
    def incarnation(self) -> str:
        """Random id of this process."""
        return self._incarnation

    def is_ready(self) -> bool:
        """Return whether the entry accepts callers."""
        return self.node.is_ready()

    def count_members(self) -> int:
        """Return the number of live entries in this entry's view, including itself."""
        return len(self.node.view.by_id)

    def is_watching_policy(self) -> bool:
        """Return whether this entry is one of its zone's watchers of the policy in the store."""
        return self._follow.is_watcher(POLICY_NAME)

    def policy_version(self) -> int:
        """Return the version of the policy in force, or 0 if there is none."""
        return self.node.policy.version if self.node.policy is not None else 0

    async def stop(self) -> None:
        """Stop gracefully; see :class:`GracefulStop`."""
        await GracefulStop(self, self._clock.monotonic, self.settings.drain_grace_s).run()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._follow.__aexit__()
        if self._peering is not None and self._peer_server is not None:
            self._peering.stop()
            await self._peer_server.close()
        self._peers.close()
        await self.store.close()
        self._client.close()

    # Steps of the graceful stop; see StoppingEntry

    def leave(self) -> None:
        """Announce that this entry is leaving, which removes it from look-ups and target owners."""
        self._left_at = self._clock.monotonic()
        self.node.leaving = True
        if self._peering is not None:
            self._peering.leave()

    def lookups_expire_at(self) -> float:
        """Return the time, in seconds, when the last look-up that may list this entry expires."""
        propagation = LEAVE_PROPAGATION_PROBES * self.settings.probe_interval_s
        policy = self.node.policy
        return self._left_at + propagation + policy.lookup_lifetime if policy else self._left_at

    def open_requests(self) -> int:
        """Return the number of requests that are being received or have not ended."""
        handled = self._driver.open_requests if self._driver is not None else 0
        return handled + self._server.receiving

    async def close_server(self) -> None:
        """Accept no new connections."""
        await self._server.close()

    async def write_outcomes(self) -> None:
        """Write the outcomes of this entry's keys to the store."""
        core = self.node.core
        if core is None:
            return
        pages = close_and_export(core.keys)
        for page in pages:
            if not await self._write_page(page):
                logs.event("outcomes-lost", logging.ERROR, object=page.name)
                return
        logs.event("outcomes-written", pages=len(pages), keys=len(core.keys))

    async def _write_page(self, page: OutcomePage) -> bool:
        for _ in range(MAX_OUTCOME_ATTEMPTS):
            try:
                await self.store.put(page.name, page.value, ABSENT)
                return True
            except StoreConflictError:
                # Only this process writes these pages: the conflict shows that an earlier
                # attempt succeeded.
                return True
            except StoreError:
                await asyncio.sleep(OUTCOME_RETRY_DELAY_S)
        return False

    # Assembly

    def _on_core_created(self, core: Core) -> None:
        """Start to serve requests and to exchange messages with other entries."""
        recovery, claims = self._make_claims(core)
        settings = DriverSettings(
            self.settings.entry_id,
            self.settings.limits.remembered_answer_bytes,
            self._max_connections_of,
            self._clock.wall,
        )
        self._driver = RequestDriver(
            core,
            self._client,
            self._reactor,
            ObjectKeyStore(self.store, claims),
            self.node,
            settings,
            self.node.pacing,
        )
        self.node.on_actions = self._driver.carry_out
        # A full garbage collection traverses every object, most of them of imported modules, and
        # blocks all callers meanwhile. The objects that exist now live as long as the process, so
        # they are excluded from later collections.
        gc.collect()
        gc.freeze()
        self._server.request_handler = self._driver
        self._peering = self._make_peering(core, recovery)
        self._peering.publish_view()
        self._peer_server = PeerServer(self._peering)
        self._start(self._peer_server.start(self.settings.host, self.settings.peer_port))
        self._start(self._peering.run())
        self._start(self._peering.poll_vm_list())

    def _make_claims(self, core: Core) -> tuple[ClaimRecovery, Claims]:
        """Return the claims of this process and their recovery, which is started."""
        wall, keys = self._clock.wall, core.keys
        hold = ClaimHold(
            self.store,
            lambda: keys.retention,
            skew=core.settings.key_skew,
            read_interval=lambda: recovery.read_interval,
            wall=wall,
            clock=self._clock.monotonic,
        )
        held = HeldClaims(
            self.store, lambda: keys.retention, lambda: recovery.write_interval, wall=wall
        )
        recovery = ClaimRecovery(
            self._incarnation,
            hold,
            held,
            ClaimHolders(self.settings.store_copy_age_s),
            self._peers,
            self._clock.monotonic,
            self._rng,
        )
        self._claim_recovery = recovery
        self._start(recovery.run())
        claims = Claims(
            self.store,
            self._incarnation,
            secrets.token_urlsafe,
            wall=wall,
            hold=hold,
            held=held,
        )
        return recovery, claims

    def _make_peering(self, core: Core, recovery: ClaimRecovery) -> Peering:
        settings = self.settings
        own_member = Member(
            member_id=settings.entry_id,
            incarnation=self._incarnation,
            region=self.node.region,
            zone=settings.zone,
            host=settings.host,
            caller_port=self._caller_port,
            forward_port=self._forward_port,
            peer_port=settings.peer_port,
        )
        incarnation_number, now = int(self._clock.wall()), self._clock.monotonic()
        return Peering(
            membership=Membership(
                own_member, self._rng, incarnation_number=incarnation_number, now=now
            ),
            core=core,
            follow=self._follow,
            client=self._peers,
            vms=self._vms,
            on_view=self._view_changed,
            load_report=self.node.load_report,
            describe_claims=recovery.describe,
            clock=self._clock.monotonic,
            rng=self._rng,
            times=PeeringTimes(period=settings.probe_interval_s),
        )

    def _make_follow(self) -> Follow:
        loaders_by_name = {
            POLICY_NAME: self.node.load_policy,
            PLAN_NAME: self.node.load_plan,
        }
        order_by_name = {POLICY_NAME: policy_order}
        followers = [
            Follower(name, _reader(load), order_of=order_by_name.get(name))
            for name, load in loaders_by_name.items()
        ]
        peers = MemberPeers(self._peers, self._address_of)
        settings = self.settings
        return Follow(
            settings.entry_id,
            settings.zone,
            self.store,
            peers,
            followers,
            self._rng,
            metrics=self._metrics,
        )

    def _address_of(self, entry_id: str) -> Address | None:
        return self._peering.address_of(entry_id) if self._peering is not None else None

    def _view_changed(self, view: MemberView) -> None:
        self.node.view_changed(view)
        if self._claim_recovery is not None:
            self._claim_recovery.view_changed(view)
        self._follow.set_members(
            {entry_id: member.zone for entry_id, member in view.by_id.items() if not member.leaving}
        )

    async def _bootstrap_policy(self) -> None:
        """Fetch the policy from other entries if the store is unavailable at the start."""
        own_address = Address(self.settings.host, self.settings.peer_port)
        while self.node.policy is None:
            await asyncio.sleep(BOOTSTRAP_INTERVAL_S * (0.5 + self._rng.random()))
            if not self._follow.is_store_failing(POLICY_NAME):
                continue
            copy = await newest_copy(
                self._peers, self._vms, own_address, POLICY_NAME, BOOTSTRAP_PEERS, self._rng
            )
            if copy is not None:
                self._follow.receive_copy(copy)

    def _max_connections_of(self, target_id: str) -> int:
        policy = self.node.policy
        target = policy.targets_by_id.get(target_id) if policy is not None else None
        return target.connections if target is not None else DEFAULT_MAX_CONNECTIONS

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(self._log_task_error)
        self._tasks.append(task)

    def _log_task_error(self, task: asyncio.Task[None]) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            error = task.exception()
            if error is not None:
                logs.event("internal-error", logging.ERROR, error=repr(error))


def _reader(load: Callable[[StoredObject], bool]) -> Callable[[StoredObject], Result[None, str]]:
    """Return a reader for a follower; ``load`` puts a version in force if it is valid."""

    def read(stored: StoredObject) -> Result[None, str]:
        return Ok(None) if load(stored) else Error("not valid at this entry; see the log")

    return read


def main(argv: Sequence[str] | None = None) -> int:
    """Run the entry."""
    return run("briarspur-entry", EntrySettings, EntryDaemon, argv)


if __name__ == "__main__":
    sys.exit(main())
