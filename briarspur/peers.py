"""The gRPC shell between entries: a server that hands messages on, and a client."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Protocol, Self, TypeVar

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from briarspur import peer_pb2 as pb
from briarspur import peerwire
from briarspur.coord.address import Address
from briarspur.gossip import BorrowAsked, ObjectCopy, PeerProbe, PeerReply
from briarspur.peer_grpc import PeerBase, PeerStub
from briarspur.peerchannels import PeerChannels

__all__ = ["PeerClient", "PeerClientSettings", "PeerHandler", "PeerServer"]

T = TypeVar("T")


class PeerHandler(Protocol):
    """What an entry does with the messages of others."""

    def probed(self, probe: PeerProbe) -> PeerReply:
        """Answer a probe."""

    async def probed_via(self, probe: PeerProbe) -> PeerReply:
        """Probe ``probe.receiver`` for the sender, and say whether it answered."""

    async def fetched(self, name: str, newer_than: int) -> ObjectCopy | None:
        """Return the object if the version in force here is above ``newer_than``."""

    async def offered(self, copy: ObjectCopy) -> int:
        """Take an object, if it is newer; return the version in force here afterwards."""

    def asked_to_lend(self, asked: BorrowAsked) -> int:
        """Grant a part of a limit; return how much."""


class PeerServer:
    """Listens for other entries.

    Parameters
    ----------
    handler : PeerHandler
        Gets every message.
    """

    def __init__(self, handler: PeerHandler) -> None:
        self._server = Server([_Service(handler)])

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        await self._server.start(host, port)

    async def close(self) -> None:
        """Stop listening and end the calls in progress."""
        self._server.close()
        await self._server.wait_closed()


@dataclass(frozen=True, slots=True)
class PeerClientSettings:
    """Settings of a client; times in seconds.

    Attributes
    ----------
    timeout : float
        For probes, offers and loans.
    fetch_timeout : float
        For objects, which may be large.
    channels : int
        Most connections kept open.
    idle : float
        How long a connection without calls is kept.
    """

    timeout: float = 0.5
    fetch_timeout: float = 5.0
    channels: int = 64
    idle: float = 30.0


class PeerClient:
    """Calls other entries; owns its connections, so use it as an asynchronous context manager.

    Every call raises :class:`PeerError` if the other entry can't be reached or does not answer in
    time; it may still have acted on the message.
    """

    def __init__(self, settings: PeerClientSettings | None = None) -> None:
        self._settings = settings or PeerClientSettings()
        self.channels = PeerChannels(self._settings.channels, self._settings.idle)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close every connection."""
        self.channels.close()

    async def probe(self, address: Address, probe: PeerProbe) -> PeerReply:
        """Probe the entry at ``address``."""
        message = peerwire.probe_to_wire(probe)

        async def call(stub: PeerStub) -> PeerReply:
            return peerwire.reply_from_wire(await stub.Probe(message))

        return await self._call(address, call, self._settings.timeout)

    async def probe_via(self, address: Address, probe: PeerProbe) -> PeerReply:
        """Ask the entry at ``address`` to probe another one; it needs the time of both probes."""
        message = peerwire.probe_to_wire(probe)

        async def call(stub: PeerStub) -> PeerReply:
            return peerwire.reply_from_wire(await stub.ProbeVia(message))

        return await self._call(address, call, 2 * self._settings.timeout)

    async def fetch(self, address: Address, name: str, newer_than: int) -> ObjectCopy | None:
        """Return an object if the other entry has a version above ``newer_than``."""
        message = pb.ObjectRequest(name=name, newer_than=newer_than)

        async def call(stub: PeerStub) -> ObjectCopy | None:
            reply = await stub.Fetch(message)
            return peerwire.copy_from_wire(reply) if reply.version > newer_than else None

        return await self._call(address, call, self._settings.fetch_timeout)

    async def offer(self, address: Address, copy: ObjectCopy) -> int:
        """Send an object; return the version in force there afterwards."""
        message = peerwire.copy_to_wire(copy)

        async def call(stub: PeerStub) -> int:
            return int((await stub.Offer(message)).version)

        return await self._call(address, call, self._settings.fetch_timeout)

    async def borrow(self, address: Address, asked: BorrowAsked) -> int:
        """Ask for a part of a limit; return how much was granted."""
        message = peerwire.borrow_to_wire(asked)

        async def call(stub: PeerStub) -> int:
            reply = await stub.Borrow(message)
            return int(reply.granted) if reply.transfer_id == asked.transfer_id else 0

        return await self._call(address, call, self._settings.timeout)

    def close_idle(self) -> None:
        """Close connections that had no call for long."""
        self.channels.close_idle()

    async def _call(
        self, address: Address, call: Callable[[PeerStub], Awaitable[T]], timeout: float
    ) -> T:
        return await self.channels.call(address, lambda kept: call(PeerStub(kept)), timeout)


class _Service(PeerBase):
    """Hands each message to the handler in its typed form."""

    def __init__(self, handler: PeerHandler) -> None:
        self._handler = handler

    async def Probe(self, stream: Stream[pb.ProbeRequest, pb.ProbeReply]) -> None:  # noqa: N802
        """Serve a probe."""
        probe = _decode(peerwire.probe_from_wire, await stream.recv_message())
        await stream.send_message(peerwire.reply_to_wire(self._handler.probed(probe)))

    async def ProbeVia(self, stream: Stream[pb.ProbeRequest, pb.ProbeReply]) -> None:  # noqa: N802
        """Serve a probe of another member."""
        probe = _decode(peerwire.probe_from_wire, await stream.recv_message())
        reply = await self._handler.probed_via(probe)
        await stream.send_message(peerwire.reply_to_wire(reply))

    async def Fetch(self, stream: Stream[pb.ObjectRequest, pb.ObjectCopy]) -> None:  # noqa: N802
        """Serve an object."""
        message = _decode(_same, await stream.recv_message())
        copy = await self._handler.fetched(message.name, message.newer_than)
        found = pb.ObjectCopy(name=message.name) if copy is None else peerwire.copy_to_wire(copy)
        await stream.send_message(found)

    async def Offer(self, stream: Stream[pb.ObjectCopy, pb.OfferReply]) -> None:  # noqa: N802
        """Take an object."""
        copy = _decode(peerwire.copy_from_wire, await stream.recv_message())
        version = await self._handler.offered(copy)
        await stream.send_message(pb.OfferReply(version=version))

    async def Borrow(self, stream: Stream[pb.BorrowRequest, pb.BorrowReply]) -> None:  # noqa: N802
        """Serve a loan."""
        asked = _decode(peerwire.borrow_from_wire, await stream.recv_message())
        reply = pb.BorrowReply(
            transfer_id=asked.transfer_id,
            granted=self._handler.asked_to_lend(asked),
            lifetime_ms=round(asked.lifetime * 1_000),
        )
        await stream.send_message(reply)


M = TypeVar("M")


def _decode(decode: Callable[[M], T], message: M | None) -> T:
    """Return the typed form of a message; a malformed one is refused, not a fault of ours."""
    if message is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "no message")
    try:
        return decode(message)
    except ValueError as error:
        raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from None


def _same(message: M) -> M:
    return message
