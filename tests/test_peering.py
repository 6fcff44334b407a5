"""Tests of the exchange between entries, with an in-memory peer client."""

import asyncio
import random
import unittest
from typing import Any, cast

from briarspur.coord.address import Address
from briarspur.coord.members import Member
from briarspur.coord.membership import Membership
from briarspur.core import Core
from briarspur.errors import PeerError
from briarspur.exchange import News
from briarspur.follow import Follow
from briarspur.gossip import Gossip, ObjectCopy, PeerProbe
from briarspur.peering import MEMBERS_NAME, Peering, PeeringTimes
from briarspur.peers import PeerClient

MEMBER_COUNT = 60


def member(number: int) -> Member:
    name = f"entry-{number}"
    return Member(name, f"p{number}", "north", "north-a", "127.0.0.1", 1, 2, 1_000 + number)


class NullCore:
    """A core that has no news and ignores news."""

    @property
    def exchange(self) -> "NullCore":
        return self

    def news(self, now: float) -> News:
        return News()

    def record_news(self, news: News, now: float) -> None:
        pass


class NullFollow:
    """Follows no objects."""

    def versions(self) -> tuple[()]:
        return ()

    def record_versions(self, sender: str, versions: object) -> None:
        pass


class InMemoryClient:
    """Passes fetches to the entry at an address; the first ``failures`` fetches fail."""

    def __init__(self) -> None:
        self.peering_by_port: dict[int, Peering] = {}
        self.failures = 0

    async def fetch(self, address: Address, name: str, newer_than: int) -> ObjectCopy | None:
        if self.failures:
            self.failures -= 1
            raise PeerError("cut")
        return await self.peering_by_port[address.port].on_fetch(name, newer_than)


class MemberSnapshotTest(unittest.IsolatedAsyncioTestCase):
    """A new entry loads a snapshot of all members."""

    def peering(self, membership: Membership, client: InMemoryClient) -> Peering:
        peering = Peering(
            membership=membership,
            core=cast(Core, NullCore()),
            follow=cast(Follow, NullFollow()),
            client=cast(PeerClient, client),
            vms=cast(Any, None),
            on_view=lambda view: None,
            load_report=lambda: b"{}",
            describe_claims=lambda newer_than: ObjectCopy("restored-claims", 1, b"", b""),
            clock=lambda: 1.0,
            rng=random.Random(1),
            times=PeeringTimes(),
        )
        client.peering_by_port[membership.own_member.peer_port] = peering
        return peering

    async def test_probes_load_all_members_despite_a_failed_fetch(self) -> None:
        """Guards against servers that get twice the work of their slots.

        An entry of a large fleet is replaced. If the new entry knows only a few members, it takes
        over targets that the others own.
        """
        client = InMemoryClient()
        old_membership = Membership(member(0), random.Random(1))
        new_membership = Membership(member(MEMBER_COUNT), random.Random(2))
        for number in range(1, MEMBER_COUNT):
            other = Membership(member(number), random.Random(3))
            old_membership.apply(other.snapshot(), 0.0)
        self.peering(old_membership, client)
        new_peering = self.peering(new_membership, client)
        client.failures = 1
        for number in (1, 2):
            probe = PeerProbe("entry-0", "", number, Gossip(updates=old_membership.snapshot()[:1]))
            new_peering.on_probe(probe)
            for _ in range(5):
                await asyncio.sleep(0)
        self.assertEqual(len(new_membership.live()), MEMBER_COUNT + 1)

    async def test_peers_can_fetch_the_member_snapshot(self) -> None:
        client = InMemoryClient()
        peering = self.peering(Membership(member(0), random.Random(1)), client)
        copy = await peering.on_fetch(MEMBERS_NAME, 0)
        assert copy is not None
        self.assertGreater(len(copy.value), 0)
