"""Drives membership and the exchange between entries: probes, objects and borrowed limits."""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from briarspur import logs
from briarspur.claimrecovery import RESTORED_CLAIMS_NAME
from briarspur.coord.address import Address
from briarspur.coord.errors import StoreError
from briarspur.coord.joining import Joining
from briarspur.coord.members import MemberState, OutgoingProbe, Probe, Reply
from briarspur.coord.membership import Membership
from briarspur.coord.store import ABSENT
from briarspur.core import Core
from briarspur.errors import PeerError
from briarspur.follow import Follow
from briarspur.gossip import Gossip, ObjectCopy, PeerBorrowRequest, PeerProbe, PeerReply
from briarspur.loadreport import LOAD_NAME
from briarspur.members import MemberView, ViewedMember
from briarspur.messages import EntryAddress
from briarspur.objects import Vm
from briarspur.peers import PeerClient
from briarspur.peerwire import updates_from_wire, updates_to_wire

__all__ = ["Peering", "PeeringTimes", "VmReader"]

MEMBERS_NAME = "members"
"""Name under which a new entry fetches a snapshot of the members from another entry. The store has
no object of this name."""
MAX_SNAPSHOT_PEERS = 3
MAX_CALLS = 64
"""Maximum concurrent calls to other entries. Calls above it are skipped; the next period starts new
ones."""


class VmReader(Protocol):
    """The platform's list of VMs."""

    async def read(self) -> Sequence[Vm]:
        """Return the VMs; the list may be stale."""


@dataclass(frozen=True, slots=True)
class PeeringTimes:
    """Intervals in seconds.

    Attributes
    ----------
    period : float
        Mean time between two probes.
    vm_list_interval : float
        Mean time between two reads of the VM list. At 10 s, 1,700 entries make 170 calls a second.
    """

    period: float = 1.0
    vm_list_interval: float = 10.0


class Peering:
    """Exchanges messages between this entry and the others; implements ``PeerHandler``.

    Parameters
    ----------
    on_view : callable
        Called with each new view of the live entries.
    load_report : callable
        Returns this entry's load report, for the planner.
    describe_claims : callable
        Returns through which era this entry's claims are in the store, given the revision that
        the asking entry knows.
    """

    def __init__(
        self,
        membership: Membership,
        core: Core,
        follow: Follow,
        client: PeerClient,
        vms: VmReader,
        on_view: Callable[[MemberView], None],
        load_report: Callable[[], bytes],
        describe_claims: Callable[[int], ObjectCopy],
        clock: Callable[[], float],
        rng: random.Random,
        times: PeeringTimes,
    ) -> None:
        self._membership = membership
        self._core = core
        self._follow = follow
        self._client = client
        self._vms = vms
        self._on_view = on_view
        self._load_report = load_report
        self._describe_claims = describe_claims
        self._clock = clock
        self._rng = rng
        self._times = times
        self._joining = Joining(times.period)
        self._published_version = -1
        self._is_publishing_paused = False
        self._stopped = False
        self._joined = False
        self._has_snapshot = False
        self._is_loading_snapshot = False
        self._published_at = -float("inf")
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def _entry_id(self) -> str:
        return self._membership.own_member.member_id

    # Messages of other entries; see PeerHandler

    def on_probe(self, probe: PeerProbe) -> PeerReply:
        """Reply to a probe."""
        if self._stopped:
            # An open connection may outlive the listening port. Replies on it would keep a stopped
            # entry in the view of the others.
            raise GRPCError(Status.UNAVAILABLE, "stopped")
        now = self._clock()
        updates = self._membership.on_probe(Probe(probe.sender, probe.gossip.updates), now)
        self._record_gossip(probe.sender, probe.gossip)
        return PeerReply(self._entry_id, probe.number, True, self._gossip(updates))

    async def on_probe_via(self, probe: PeerProbe) -> PeerReply:
        """Probe ``probe.receiver`` on behalf of the sender; report whether it replied."""
        updates = self._membership.on_probe(
            Probe(probe.sender, probe.gossip.updates), self._clock()
        )
        member = self._membership.member(probe.receiver)
        acknowledged = False
        if member is not None:
            forwarded = PeerProbe(
                self._entry_id, probe.receiver, probe.number, self._gossip(updates)
            )
            try:
                reply = await self._client.probe(member.address, forwarded)
                acknowledged = reply.acknowledged
            except PeerError:
                acknowledged = False
        return PeerReply(self._entry_id, probe.number, acknowledged, self._gossip(updates))

    async def on_fetch(self, name: str, newer_than: int) -> ObjectCopy | None:
        """Return the object if the version in force here is above ``newer_than``, or None."""
        if name == LOAD_NAME:
            return ObjectCopy(LOAD_NAME, newer_than + 1, b"", self._load_report())
        if name == MEMBERS_NAME:
            value = updates_to_wire(self._membership.snapshot())
            return ObjectCopy(MEMBERS_NAME, newer_than + 1, b"", value)
        if name == RESTORED_CLAIMS_NAME:
            return self._describe_claims(newer_than)
        return self._follow.copy(name, newer_than)

    async def on_offer(self, copy: ObjectCopy) -> int:
        """Apply an object if it is newer; return the version then in force here."""
        return self._follow.receive_copy(copy)

    def on_borrow(self, request: PeerBorrowRequest) -> int:
        """Lend part of a limit; return the granted amount."""
        return self._core.exchange.lend(
            request.resource, request.transfer_id, request.amount, request.lifetime, self._clock()
        )

    # Periodic work

    async def run(self) -> None:
        """Probe other entries in every period, until cancelled."""
        while True:
            now = self._clock()
            self._start_probes(self._membership.tick(now))
            self._borrow(now)
            self.publish_view()
            self._client.close_idle()
            await asyncio.sleep(self._times.period * (0.9 + 0.2 * self._rng.random()))

    async def poll_vm_list(self) -> None:
        """Read the VM list at random intervals, until cancelled."""
        while True:
            try:
                listed = await self._vms.read()
                addresses = [Address(vm.host, vm.peer_port) for vm in listed]
                self._membership.set_listed_addresses(addresses, self._clock())
                if not self._has_snapshot:
                    await self._load_snapshot(addresses)
                self.publish_view()
            except StoreError as error:
                logs.event("store-unavailable", logging.WARNING, object="vms", error=str(error))
            await asyncio.sleep(self._times.vm_list_interval * (0.5 + self._rng.random()))

    def address_of(self, entry_id: str) -> Address | None:
        """Return the address of a member, or None if the member is unknown."""
        member = self._membership.member(entry_id)
        return member.address if member is not None else None

    async def _load_snapshot(self, addresses: list[Address]) -> None:
        """Load a snapshot of the members from the first of a few entries that replies.

        A probe carries only a few updates. In a large fleet, a new entry that relied on probes
        would be unaware of other members long after it began to serve, and would consider itself
        the owner of their targets.
        """
        others = [
            address for address in addresses if address != self._membership.own_member.address
        ]
        for address in self._rng.sample(others, min(MAX_SNAPSHOT_PEERS, len(others))):
            await self._load_snapshot_from(address)
            if self._has_snapshot:
                return

    async def _load_snapshot_from(self, address: Address) -> None:
        """Load a snapshot of the members from one entry."""
        self._is_loading_snapshot = True
        try:
            copy = await self._client.fetch(address, MEMBERS_NAME, ABSENT)
            if copy is not None:
                self._membership.load_snapshot(updates_from_wire(copy.value), self._clock())
                self._has_snapshot = True
                self.publish_view()
        except (PeerError, ValueError) as error:
            logs.event("peer-unavailable", object=MEMBERS_NAME, error=str(error))
        finally:
            self._is_loading_snapshot = False

    def leave(self) -> None:
        """Announce to all entries of the region, concurrently, that this entry is leaving.

        The others take over its targets when they receive the announcement. If this entry released
        its targets earlier, they would have no owner for up to several probe periods and callers
        would be refused during a planned stop. So this entry's own view changes only after the
        region has replied.
        """
        self._membership.leave(self._clock())
        self._is_publishing_paused = True
        task = asyncio.get_running_loop().create_task(
            self._announce_leaving(self._membership.probes_of_region())
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _announce_leaving(self, probes: list[OutgoingProbe]) -> None:
        """Send probes, wait for the replies for at most one period, then publish the view."""
        sending = [asyncio.ensure_future(self._probe(probe)) for probe in probes]
        if sending:
            await asyncio.wait(sending, timeout=self._times.period)
        self._is_publishing_paused = False
        self.publish_view()

    def stop(self) -> None:
        """Reject all further probes."""
        self._stopped = True

    def publish_view(self) -> None:
        """Publish the view of the live entries if it changed and this entry has joined."""
        if not self._has_joined():
            return
        if self._is_publishing_paused or self._membership.view_version == self._published_version:
            return
        self._published_version = self._membership.view_version
        self._published_at = self._clock()
        self._on_view(self.view())

    def _has_joined(self) -> bool:
        if not self._joined:
            membership = self._membership
            unknown, has_contact = membership.count_unknown_addresses(), membership.has_contact()
            self._joined = self._joining.joined(has_contact, unknown, self._clock())
        return self._joined

    def _publish_view_throttled(self, sender: str) -> None:
        """Publish a changed view at most once per period, unless the sender is leaving.

        The cost of a new view grows with the size of the fleet. When an availability zone fails,
        its entries are removed one by one, and each removal would make every entry recompute owners
        and look-ups. A leaving entry is handled immediately because it releases its targets when it
        receives the reply.
        """
        is_leaving = self._membership.state(sender) is MemberState.LEAVING
        if is_leaving or self._clock() - self._published_at >= self._times.period:
            self.publish_view()

    def view(self) -> MemberView:
        """Return the live entries, including this one and leaving ones."""
        by_id = {}
        for member in self._membership.reachable():
            address = EntryAddress(
                member.member_id,
                member.host,
                member.caller_port,
                member.forward_port,
                member.peer_port,
            )
            leaving = self._membership.state(member.member_id) is MemberState.LEAVING
            by_id[member.member_id] = ViewedMember(
                address, member.incarnation, member.region, member.zone, leaving
            )
        return MemberView(by_id)

    def _gossip(self, updates: tuple[Any, ...]) -> Gossip:
        news = self._core.exchange.news(self._clock())
        return Gossip(updates, self._follow.versions(), news)

    def _record_gossip(self, sender: str, gossip: Gossip) -> None:
        self._core.exchange.record_news(gossip.news, self._clock())
        self._publish_view_throttled(sender)
        self._follow.record_versions(sender, gossip.objects)
        member = self._membership.member(sender)
        # The VM list may be unavailable, so load the snapshot from the first sender.
        if member is not None and not self._has_snapshot and not self._is_loading_snapshot:
            self._start_call(self._load_snapshot_from(member.address))

    def _start_probes(self, probes: list[OutgoingProbe]) -> None:
        for probe in probes:
            self._start_call(self._probe(probe))

    async def _probe(self, probe: OutgoingProbe) -> None:
        message = PeerProbe(
            self._entry_id, probe.receiver, probe.number, self._gossip(probe.updates)
        )
        call = self._client.probe_via if probe.is_indirect else self._client.probe
        try:
            reply = await call(probe.address, message)
        except PeerError:
            self._start_probes(self._membership.on_timeout(probe.number, self._clock()))
            return
        member_reply = Reply(reply.sender, probe.number, reply.acknowledged, reply.gossip.updates)
        next_probes = self._membership.on_reply(member_reply, self._clock())
        self._record_gossip(reply.sender, reply.gossip)
        self._start_probes(next_probes)

    def _borrow(self, now: float) -> None:
        view = self._core.view
        request = self._core.exchange.next_borrow_request(view, self._rng, now)
        if request is None or request.entry_id not in view.by_id:
            return
        address = view.by_id[request.entry_id].address
        message = PeerBorrowRequest(
            self._entry_id, request.resource, request.amount, request.transfer_id, request.lifetime
        )

        async def borrow() -> None:
            try:
                granted = await self._client.borrow(
                    Address(address.host, address.peer_port), message
                )
            except PeerError:
                return
            self._core.exchange.add_borrowed(request, granted)

        self._start_call(borrow())

    def _start_call(self, call: Coroutine[Any, Any, None]) -> None:
        if len(self._tasks) >= MAX_CALLS:
            call.close()
            return
        task = asyncio.get_running_loop().create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
