"""gRPC server and client for the messages between entries."""

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
from briarspur.gossip import ObjectCopy, PeerBorrowRequest, PeerProbe, PeerReply
from briarspur.peer_grpc import PeerBase, PeerStub
from briarspur.peerchannels import PeerChannels

__all__ = ["PeerClient", "PeerClientSettings", "PeerHandler", "PeerServer"]

T = TypeVar("T")


class PeerHandler(Protocol):
    """Handles the messages of other entries."""

    def on_probe(self, probe: PeerProbe) -> PeerReply:
        """Reply to a probe."""

    async def on_probe_via(self, probe: PeerProbe) -> PeerReply:
        """Probe ``probe.receiver`` on behalf of the sender; report whether it replied."""

    async def on_fetch(self, name: str, newer_than: int) -> ObjectCopy | None:
        """Return the object if the version in force here is above ``newer_than``, or None."""

    async def on_offer(self, copy: ObjectCopy) -> int:
        """Apply an object if it is newer; return the version then in force here."""

    def on_borrow(self, request: PeerBorrowRequest) -> int:
        """Lend part of a limit; return the granted amount."""


class PeerServer:
    """Listens for messages of other entries.

    Parameters
    ----------
    handler : PeerHandler
        Receives every message.
    """

    def __init__(self, handler: PeerHandler) -> None:
        self._server = Server([_Service(handler)])

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        await self._server.start(host, port)

    async def close(self) -> None:
        """Stop listening and cancel the calls in progress."""
        self._server.close()
        await self._server.wait_closed()


@dataclass(frozen=True, slots=True)
class PeerClientSettings:
    """Settings of a client; times in seconds.

    Attributes
    ----------
    timeout : float
        For probes and borrow requests; indirect probes have twice this time.
    fetch_timeout : float
        For fetches and offers of objects, which may be large.
    max_channels : int
        Maximum number of open connections.
    idle_timeout : float
        Time after which a connection without calls is closed.
    """

    timeout: float = 0.5
    fetch_timeout: float = 5.0
    max_channels: int = 64
    idle_timeout: float = 30.0


class PeerClient:
    """Sends messages to other entries.

    The client owns its connections; as an asynchronous context manager it closes them at exit.
    Every call raises :class:`PeerError` if the other entry can't be reached or doesn't reply in
    time; it may have processed the message nevertheless.
    """

    def __init__(self, settings: PeerClientSettings | None = None) -> None:
        self._settings = settings or PeerClientSettings()
        self.channels = PeerChannels(self._settings.max_channels, self._settings.idle_timeout)

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
        """Ask the entry at ``address`` to probe another one; the timeout covers both probes."""
        message = peerwire.probe_to_wire(probe)

        async def call(stub: PeerStub) -> PeerReply:
            return peerwire.reply_from_wire(await stub.ProbeVia(message))

        return await self._call(address, call, 2 * self._settings.timeout)

    async def fetch(self, address: Address, name: str, newer_than: int) -> ObjectCopy | None:
        """Return an object if the other entry has a version above ``newer_than``, or None."""
        message = pb.ObjectRequest(name=name, newer_than=newer_than)

        async def call(stub: PeerStub) -> ObjectCopy | None:
            reply = await stub.Fetch(message)
            return peerwire.copy_from_wire(reply) if reply.version > newer_than else None

        return await self._call(address, call, self._settings.fetch_timeout)

    async def offer(self, address: Address, copy: ObjectCopy) -> int:
        """Send an object; return the version then in force at the other entry."""
        message = peerwire.copy_to_wire(copy)

        async def call(stub: PeerStub) -> int:
            return int((await stub.Offer(message)).version)

        return await self._call(address, call, self._settings.fetch_timeout)

    async def borrow(self, address: Address, request: PeerBorrowRequest) -> int:
        """Ask to borrow part of a limit; return the granted amount."""
        message = peerwire.borrow_to_wire(request)

        async def call(stub: PeerStub) -> int:
            reply = await stub.Borrow(message)
            return int(reply.granted) if reply.transfer_id == request.transfer_id else 0

        return await self._call(address, call, self._settings.timeout)

    def close_idle(self) -> None:
        """Close the connections that were idle for longer than the idle timeout."""
        self.channels.close_idle()

    async def _call(
        self, address: Address, call: Callable[[PeerStub], Awaitable[T]], timeout: float
    ) -> T:
        return await self.channels.call(address, lambda channel: call(PeerStub(channel)), timeout)


class _Service(PeerBase):
    """Converts each message and passes it to the handler."""

    def __init__(self, handler: PeerHandler) -> None:
        self._handler = handler

    async def Probe(self, stream: Stream[pb.ProbeRequest, pb.ProbeReply]) -> None:  # noqa: N802
        """Handle a probe."""
        probe = _decode(peerwire.probe_from_wire, await stream.recv_message())
        await stream.send_message(peerwire.reply_to_wire(self._handler.on_probe(probe)))

    async def ProbeVia(self, stream: Stream[pb.ProbeRequest, pb.ProbeReply]) -> None:  # noqa: N802
        """Handle an indirect probe."""
        probe = _decode(peerwire.probe_from_wire, await stream.recv_message())
        reply = await self._handler.on_probe_via(probe)
        await stream.send_message(peerwire.reply_to_wire(reply))

    async def Fetch(self, stream: Stream[pb.ObjectRequest, pb.ObjectCopy]) -> None:  # noqa: N802
        """Handle a request for an object."""
        message = _decode(_unchanged, await stream.recv_message())
        copy = await self._handler.on_fetch(message.name, message.newer_than)
        reply = pb.ObjectCopy(name=message.name) if copy is None else peerwire.copy_to_wire(copy)
        await stream.send_message(reply)

    async def Offer(self, stream: Stream[pb.ObjectCopy, pb.OfferReply]) -> None:  # noqa: N802
        """Handle an offered object."""
        copy = _decode(peerwire.copy_from_wire, await stream.recv_message())
        version = await self._handler.on_offer(copy)
        await stream.send_message(pb.OfferReply(version=version))

    async def Borrow(self, stream: Stream[pb.BorrowRequest, pb.BorrowReply]) -> None:  # noqa: N802
        """Handle a borrow request."""
        request = _decode(peerwire.borrow_from_wire, await stream.recv_message())
        reply = pb.BorrowReply(
            transfer_id=request.transfer_id,
            granted=self._handler.on_borrow(request),
            lifetime_ms=round(request.lifetime * 1_000),
        )
        await stream.send_message(reply)


M = TypeVar("M")


def _decode(decode: Callable[[M], T], message: M | None) -> T:
    """Return the typed form of a message; reject a malformed one with INVALID_ARGUMENT."""
    if message is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "no message")
    try:
        return decode(message)
    except ValueError as error:
        raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from None


def _unchanged(message: M) -> M:
    return message
