"""Tests of the gRPC server and client between entries."""

import asyncio
import unittest

from briarspur.coord.address import Address
from briarspur.coord.members import Member, MemberState, MemberUpdate
from briarspur.coord.quarantine import Verdict
from briarspur.errors import PeerError
from briarspur.exchange import LeavingNotice, News
from briarspur.gossip import (
    Gossip,
    ObjectCopy,
    ObjectVersion,
    PeerBorrowRequest,
    PeerProbe,
    PeerReply,
)
from briarspur.loads import LoadReport
from briarspur.peers import PeerClient, PeerClientSettings, PeerServer
from briarspur.peerwire import updates_from_wire, updates_to_wire
from standins.ports import free_port

MEMBER = Member("entry-1", "a1b2", "north", "north-a", "127.0.0.1", 1, 2, 3)
GOSSIP = Gossip(
    updates=(MemberUpdate(MEMBER, 7, MemberState.SUSPECT),),
    objects=(ObjectVersion("policy", 4, b"digest"),),
    news=News(
        loads=(LoadReport("entry-1", "times", 3, 1),),
        verdicts=(Verdict(b"poison", 2, True, 1.5, 600.0),),
        leaving=(LeavingNotice("times-north-1", 0.25),),
    ),
)


class EchoHandler:
    """Echoes probes and keeps offered objects; offers hang while ``hang`` is set."""

    def __init__(self) -> None:
        self.copies = {"policy": ObjectCopy("policy", 4, b"digest", b"{}")}
        self.hang = False

    def on_probe(self, probe: PeerProbe) -> PeerReply:
        return PeerReply("entry-2", probe.number, True, probe.gossip)

    async def on_probe_via(self, probe: PeerProbe) -> PeerReply:
        return PeerReply("entry-2", probe.number, False, probe.gossip)

    async def on_fetch(self, name: str, newer_than: int) -> ObjectCopy | None:
        copy = self.copies.get(name)
        return copy if copy is not None and copy.version > newer_than else None

    async def on_offer(self, copy: ObjectCopy) -> int:
        if self.hang:
            await asyncio.sleep(60.0)
        self.copies[copy.name] = copy
        return copy.version

    def on_borrow(self, request: PeerBorrowRequest) -> int:
        return min(request.amount, 2)


class PeersTest(unittest.IsolatedAsyncioTestCase):
    """Messages arrive complete, and every failure is a PeerError."""

    async def asyncSetUp(self) -> None:
        self.handler = EchoHandler()
        self.server = PeerServer(self.handler)
        port = free_port("127.0.0.1")
        await self.server.start("127.0.0.1", port)
        self.address = Address("127.0.0.1", port)
        self.client = PeerClient(PeerClientSettings(fetch_timeout=0.2, max_channels=2))

    async def asyncTearDown(self) -> None:
        self.client.close()
        await self.server.close()

    async def test_probe_and_reply_carry_all_gossip(self) -> None:
        probe = PeerProbe("entry-1", "entry-2", 5, GOSSIP)
        reply = await self.client.probe(self.address, probe)
        self.assertEqual(reply, PeerReply("entry-2", 5, True, GOSSIP))
        reply = await self.client.probe_via(self.address, probe)
        self.assertFalse(reply.acknowledged)

    async def test_objects_are_fetched_and_offered(self) -> None:
        self.assertIsNone(await self.client.fetch(self.address, "policy", 4))
        self.assertIsNone(await self.client.fetch(self.address, "plan", 0))
        newer = ObjectCopy("policy", 5, b"other", b"x" * 1_000_000)
        self.assertEqual(await self.client.offer(self.address, newer), 5)
        self.assertEqual(await self.client.fetch(self.address, "policy", 4), newer)

    async def test_borrow_returns_the_granted_amount(self) -> None:
        request = PeerBorrowRequest("entry-1", "in-flight/north", 5, "t1", 10.0)
        self.assertEqual(await self.client.borrow(self.address, request), 2)

    async def test_timeouts_and_refused_connections_raise_peer_errors(self) -> None:
        self.handler.hang = True
        with self.assertRaises(PeerError):
            await self.client.offer(self.address, ObjectCopy("policy", 9, b"", b""))
        with self.assertRaises(PeerError):
            await self.client.fetch(Address("127.0.0.1", 1), "policy", 0)

    async def test_failed_connections_are_not_kept(self) -> None:
        for host in ("127.0.0.1", "127.0.0.2", "127.0.0.3"):
            with self.assertRaises(PeerError):
                await self.client.fetch(Address(host, 1), "policy", 0)
        self.assertEqual(len(self.client.channels), 0)
        await self.client.fetch(self.address, "policy", 0)
        self.assertEqual(len(self.client.channels), 1)

    def test_member_updates_survive_encoding(self) -> None:
        self.assertEqual(updates_from_wire(updates_to_wire(GOSSIP.updates)), GOSSIP.updates)
        with self.assertRaises(ValueError):
            updates_from_wire(b"\xff\xff")
