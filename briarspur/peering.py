"""Drives membership and the exchange with other entries: probes, objects, loans of limits."""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from briarspur import logs
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
"""Name under which entries hand all they know of the members to a new one; never in the store."""
MEMBERS_ASKED = 3
MOST_TASKS = 64
"""Calls to other entries at once; more are left out, and the next period makes new ones."""


class VmReader(Protocol):
    """The platform's list of VMs."""

    async def read(self) -> Sequence[Vm]:
        """Return the VMs; may be old."""


@dataclass(frozen=True, slots=True)
class PeeringTimes:
    """Times in seconds.

    Attributes
    ----------
    period : float
        Between two probes.
    list_interval : float
        Mean time between two readings of the VM list; 1,700 entries make 170 calls a second.
    """

    period: float = 1.0
    list_interval: float = 10.0


class Peering:
    """One entry's exchange with the others; implements ``PeerHandler``.

    Parameters
    ----------
    on_view : callable
        Gets each new view of the live entries.
    load : callable
        Returns this entry's load report, for the planner.
    """

    def __init__(
        self,
        membership: Membership,
        core: Core,
        follow: Follow,
        client: PeerClient,
        vms: VmReader,
        on_view: Callable[[MemberView], None],
        load: Callable[[], bytes],
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
        self._load = load
        self._clock = clock
        self._rng = rng
        self._times = times
        self._joining = Joining(times.period)
        self._shown_version = -1
        self._view_is_held = False
        self._stopped = False
        self._joined = False
        self._knows_all = False
        self._is_learning = False
        self._shown_at = -float("inf")
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def _me(self) -> str:
        return self._membership.own_member.member_id

    # What others ask; see PeerHandler

    def on_probe(self, probe: PeerProbe) -> PeerReply:
        """Answer a probe."""
        if self._stopped:
            # A kept connection may outlive the listening port; its last answers would keep a
            # stopped entry in the view of the others.
            raise GRPCError(Status.UNAVAILABLE, "stopped")
        now = self._clock()
        updates = self._membership.on_probe(Probe(probe.sender, probe.gossip.updates), now)
        self._heard(probe.sender, probe.gossip)
        return PeerReply(self._me, probe.number, True, self._gossip(updates))

    async def on_probe_via(self, probe: PeerProbe) -> PeerReply:
        """Probe ``probe.receiver`` for the sender, and say whether it answered."""
        updates = self._membership.on_probe(
            Probe(probe.sender, probe.gossip.updates), self._clock()
        )
        member = self._membership.member(probe.receiver)
        acknowledged = False
        if member is not None:
            asked = PeerProbe(self._me, probe.receiver, probe.number, self._gossip(updates))
            try:
                reply = await self._client.probe(member.address, asked)
                acknowledged = reply.acknowledged
            except PeerError:
                acknowledged = False
        return PeerReply(self._me, probe.number, acknowledged, self._gossip(updates))

    async def on_fetch(self, name: str, newer_than: int) -> ObjectCopy | None:
        """Return the object if the version in force here is above ``newer_than``."""
        if name == LOAD_NAME:
            return ObjectCopy(LOAD_NAME, newer_than + 1, b"", self._load())
        if name == MEMBERS_NAME:
            value = updates_to_wire(self._membership.snapshot())
            return ObjectCopy(MEMBERS_NAME, newer_than + 1, b"", value)
        return self._follow.copy(name, newer_than)

    async def on_offer(self, copy: ObjectCopy) -> int:
        """Take an object, if it is newer; return the version in force here afterwards."""
        return self._follow.offered(copy)

    def on_borrow(self, asked: PeerBorrowRequest) -> int:
        """Grant a part of a limit; return how much."""
        return self._core.exchange.lend(
            asked.resource, asked.transfer_id, asked.amount, asked.lifetime, self._clock()
        )

    # What is done unasked

    async def run(self) -> None:
        """Probe in every period, until cancelled."""
        while True:
            now = self._clock()
            self._send(self._membership.tick(now))
            self._borrow(now)
            self.show_view()
            self._client.close_idle()
            await asyncio.sleep(self._times.period * (0.9 + 0.2 * self._rng.random()))

    async def follow_list(self) -> None:
        """Read the VM list now and then, until cancelled."""
        while True:
            try:
                listed = await self._vms.read()
                addresses = [Address(vm.host, vm.peer_port) for vm in listed]
                self._membership.set_listed_addresses(addresses, self._clock())
                if not self._knows_all:
                    await self._learn_all(addresses)
                self.show_view()
            except StoreError as error:
                logs.event("store-unavailable", logging.WARNING, object="vms", error=str(error))
            await asyncio.sleep(self._times.list_interval * (0.5 + self._rng.random()))

    def address_of(self, entry_id: str) -> Address | None:
        """Return the address of a member, None if it is not known."""
        member = self._membership.member(entry_id)
        return member.address if member is not None else None

    async def _learn_all(self, addresses: list[Address]) -> None:
        """Ask other entries, one after the other, for all they know of the members.

        Probes carry a few facts each. Of many entries a new one would learn so slowly that it took
        itself for the owner of targets that others have, long after it began to serve.
        """
        others = [
            address for address in addresses if address != self._membership.own_member.address
        ]
        for address in self._rng.sample(others, min(MEMBERS_ASKED, len(others))):
            await self._learn_from(address)
            if self._knows_all:
                return

    async def _learn_from(self, address: Address) -> None:
        """Ask one entry for all it knows of the members."""
        self._is_learning = True
        try:
            copy = await self._client.fetch(address, MEMBERS_NAME, ABSENT)
            if copy is not None:
                self._membership.load_snapshot(updates_from_wire(copy.value), self._clock())
                self._knows_all = True
                self.show_view()
        except (PeerError, ValueError) as error:
            logs.event("peer-unavailable", object=MEMBERS_NAME, error=str(error))
        finally:
            self._is_learning = False

    def leave(self) -> None:
        """Say that this entry takes no new work, to its whole region at once.

        The others take its targets over as they hear of it. If this entry let go of them before
        that, nobody would own them for up to some probe periods, and callers would be refused in
        the middle of a planned stop. So its own view follows when the region has answered.
        """
        self._membership.leave(self._clock())
        self._view_is_held = True
        task = asyncio.get_running_loop().create_task(
            self._announce(self._membership.probes_of_region())
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _announce(self, probes: list[OutgoingProbe]) -> None:
        """Send probes and wait for the replies, but no longer than one period."""
        sending = [asyncio.ensure_future(self._probe(probe)) for probe in probes]
        if sending:
            await asyncio.wait(sending, timeout=self._times.period)
        self._view_is_held = False
        self.show_view()

    def stop(self) -> None:
        """Answer no more probes."""
        self._stopped = True

    def show_view(self) -> None:
        """Hand on the view of the live entries if it changed, once there is one to trust."""
        if not self._has_joined():
            return
        if self._view_is_held or self._membership.view_version == self._shown_version:
            return
        self._shown_version = self._membership.view_version
        self._shown_at = self._clock()
        self._on_view(self.view())

    def _has_joined(self) -> bool:
        if not self._joined:
            membership = self._membership
            unheard, has_contact = membership.count_unknown_addresses(), membership.has_contact()
            self._joined = self._joining.joined(has_contact, unheard, self._clock())
        return self._joined

    def _show_view_in_time(self, sender: str) -> None:
        """Hand a changed view on, but once a period at most.

        A new view costs time that grows with the fleet. When an availability zone is lost, its
        entries go one by one; each would make every entry work out owners and look-ups anew. Only
        the word of an entry that leaves is taken at once: it lets go of its targets on our reply.
        """
        is_leaving = self._membership.state(sender) is MemberState.LEAVING
        if is_leaving or self._clock() - self._shown_at >= self._times.period:
            self.show_view()

    def view(self) -> MemberView:
        """Return the live entries, this one and leaving ones included."""
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

    def _heard(self, sender: str, gossip: Gossip) -> None:
        self._core.exchange.record_news(gossip.news, self._clock())
        self._show_view_in_time(sender)
        self._follow.heard(sender, gossip.objects)
        member = self._membership.member(sender)
        # Without the VM list, whoever is heard first is asked.
        if member is not None and not self._knows_all and not self._is_learning:
            self._start(self._learn_from(member.address))

    def _send(self, probes: list[OutgoingProbe]) -> None:
        for probe in probes:
            self._start(self._probe(probe))

    async def _probe(self, probe: OutgoingProbe) -> None:
        asked = PeerProbe(self._me, probe.receiver, probe.number, self._gossip(probe.updates))
        call = self._client.probe_via if probe.is_indirect else self._client.probe
        try:
            reply = await call(probe.address, asked)
        except PeerError:
            self._send(self._membership.on_timeout(probe.number, self._clock()))
            return
        answer = Reply(reply.sender, probe.number, reply.acknowledged, reply.gossip.updates)
        more = self._membership.on_reply(answer, self._clock())
        self._heard(reply.sender, reply.gossip)
        self._send(more)

    def _borrow(self, now: float) -> None:
        view = self._core.view
        wanted = self._core.exchange.next_borrow_request(view, self._rng, now)
        if wanted is None or wanted.entry_id not in view.by_id:
            return
        address = view.by_id[wanted.entry_id].address
        asked = PeerBorrowRequest(
            self._me, wanted.resource, wanted.amount, wanted.transfer_id, wanted.lifetime
        )

        async def ask() -> None:
            try:
                granted = await self._client.borrow(Address(address.host, address.peer_port), asked)
            except PeerError:
                return
            self._core.exchange.add_borrowed(wanted, granted)

        self._start(ask())

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        if len(self._tasks) >= MOST_TASKS:
            work.close()
            return
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
