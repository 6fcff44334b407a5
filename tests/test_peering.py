"""Tests of the exchange between entries, over a peer client in memory."""

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

MEMBERS = 60


def member(number: int) -> Member:
    name = f"entry-{number}"
    return Member(name, f"p{number}", "north", "north-a", "127.0.0.1", 1, 2, 1_000 + number)


class QuietCore:
    """A core without news."""

    @property
    def exchange(self) -> "QuietCore":
        return self

    def news(self, now: float) -> News:
        return News()

    def record_news(self, news: News, now: float) -> None:
        pass


class NothingFollowed:
    """No objects."""

    def versions(self) -> tuple[()]:
        return ()

    def heard(self, sender: str, versions: object) -> None:
        pass


class Wire:
    """Hands fetches to the entry at an address; the first ones fail if told so."""

    def __init__(self) -> None:
        self.peering_by_port: dict[int, Peering] = {}
        self.failures = 0

    async def fetch(self, address: Address, name: str, newer_than: int) -> ObjectCopy | None:
        if self.failures:
            self.failures -= 1
            raise PeerError("cut")
        return await self.peering_by_port[address.port].on_fetch(name, newer_than)


class MembersAtStartTest(unittest.IsolatedAsyncioTestCase):
    """A fresh entry gets to know all others at once."""

    def peering(self, membership: Membership, wire: Wire) -> Peering:
        made = Peering(
            membership=membership,
            core=cast(Core, QuietCore()),
            follow=cast(Follow, NothingFollowed()),
            client=cast(PeerClient, wire),
            vms=cast(Any, None),
            on_view=lambda view: None,
            load=lambda: b"{}",
            clock=lambda: 1.0,
            rng=random.Random(1),
            times=PeeringTimes(),
        )
        wire.peering_by_port[membership.own_member.peer_port] = made
        return made

    async def test_all_members_are_fetched_on_the_first_contact(self) -> None:
        """Servers get twice their slots' work when an entry is replaced in a large fleet.

        The fresh entry knew a few others only, and took over what the rest owned.
        """
        wire = Wire()
        old = Membership(member(0), random.Random(1))
        newcomer = Membership(member(MEMBERS), random.Random(2))
        for number in range(1, MEMBERS):
            other = Membership(member(number), random.Random(3))
            old.apply(other.snapshot(), 0.0)
        self.peering(old, wire)
        fresh = self.peering(newcomer, wire)
        wire.failures = 1
        for number in (1, 2):
            probe = PeerProbe("entry-0", "", number, Gossip(updates=old.snapshot()[:1]))
            fresh.on_probe(probe)
            for _ in range(5):
                await asyncio.sleep(0)
        self.assertEqual(len(newcomer.live()), MEMBERS + 1)

    async def test_members_are_an_object_that_peers_can_fetch(self) -> None:
        wire = Wire()
        peering = self.peering(Membership(member(0), random.Random(1)), wire)
        copy = await peering.on_fetch(MEMBERS_NAME, 0)
        assert copy is not None
        self.assertGreater(len(copy.value), 0)
