"""Transfers copies of the store's objects between entries by gRPC."""

import asyncio
import json
import zlib
from collections.abc import Callable
from dataclasses import dataclass

from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.server import Server, Stream

from briarspur.coord.era import era_of, number_of, revision_in_era
from briarspur.errors import PeerError
from briarspur.gateway import gateway_pb2 as pb
from briarspur.gateway.gateway_grpc import ReplicaBase, ReplicaStub
from briarspur.gateway.replica import REPLICATED, Batch, Kind, Replica, StoredChange
from briarspur.peerchannels import Address, PeerChannels

__all__ = ["PullClient", "PullResult", "PullServer"]

PULL_TIMEOUT_S = 1.0
"""Time without any part of a reply after which the other entry is regarded as unreachable."""
MAX_PULL_S = 20.0
"""Time for a whole reply."""
PART_BYTES = 16_384
"""Small enough that a part passes the slowest links well within the timeout."""
COMPRESSION_LEVEL = 1
"""Routes differ in a few fields, so the fastest level already removes most of their bytes."""
MAX_AGE_S = 3_600.0
MS_PER_S = 1_000
KIND_NUMBERS = frozenset(int(kind) for kind in REPLICATED)


class PullResult:
    """The answer of another entry to a pull.

    Attributes
    ----------
    age : float
        Seconds since the store confirmed the other entry's copy.
    """

    __slots__ = ("age", "batch")

    def __init__(self, batch: Batch, age: float) -> None:
        self.batch = batch
        self.age = age


class PullClient:
    """Pulls changes from other entries; owns its connections."""

    def __init__(self, channels: PeerChannels) -> None:
        self._channels = channels

    async def pull(self, address: Address, kind: Kind, newer_than: int) -> PullResult | None:
        """Return another entry's changes after a revision, or None if it has no copy yet.

        Raises
        ------
        PeerError
            The entry did not answer, or its answer is malformed.
        """
        message = pb.PullRequest(
            kind=int(kind),
            newer_than=number_of(newer_than),
            era=era_of(newer_than),
            in_parts=True,
        )
        received = await self._channels.call(
            address, lambda channel: _receive(channel, message), MAX_PULL_S
        )
        try:
            reply = _join(received)
            if reply.revision == 0:
                return None
            changes = tuple(_decode_change(item) for item in reply.objects)
        except ValueError as error:
            raise PeerError(f"{address.host}:{address.port}: malformed copy: {error}") from None
        batch = Batch(
            revision_in_era(reply.era, reply.revision),
            changes,
            reply.whole,
            revision_in_era(reply.era, reply.copied_through) if reply.copied_through else 0,
        )
        return PullResult(batch, reply.age_ms / MS_PER_S)


class PullServer(ReplicaBase):
    """Serves this entry's copies to other entries.

    Parameters
    ----------
    replica_of : callable
        Returns the copy of a kind.
    store_age : callable
        Returns the seconds since the store confirmed the copies.
    """

    def __init__(
        self, replica_of: Callable[[Kind], Replica], store_age: Callable[[], float]
    ) -> None:
        self._replica_of = replica_of
        self._store_age = store_age
        self._server = Server([self])
        self._listening = False
        self._encoded_by_kind: dict[Kind, _EncodedReply] = {}

    async def start(self, host: str, port: int) -> None:
        """Start listening on a host and port."""
        await self._server.start(host, port)
        self._listening = True

    def close(self) -> None:
        """Stop listening."""
        if self._listening:
            self._listening = False
            self._server.close()

    async def Pull(self, stream: Stream[pb.PullRequest, pb.PullReply]) -> None:  # noqa: N802
        """Handle the RPC ``Replica.Pull``."""
        message = await stream.recv_message()
        if message is None or message.kind not in KIND_NUMBERS:
            await stream.send_message(pb.PullReply())
            return
        age_ms = round(min(self._store_age(), MAX_AGE_S) * MS_PER_S)
        replica = self._replica_of(Kind(message.kind))
        era = message.era if message.HasField("era") else replica.era
        newer_than = revision_in_era(era, message.newer_than) if message.newer_than else 0
        if not message.in_parts:
            reply = _encode_reply(replica.newer_than(newer_than))
            reply.age_ms = age_ms
            await stream.send_message(reply)
            return
        parts = self._encoded(replica, newer_than).parts
        for part in parts:
            await stream.send_message(pb.PullReply(age_ms=age_ms, parts=len(parts), part=part))

    def _encoded(self, replica: Replica, newer_than: int) -> "_EncodedReply":
        """Return a reply; all members of a group pull the same changes at the same time."""
        known = self._encoded_by_kind.get(replica.kind)
        content = (newer_than, replica.revision, replica.edits)
        if known is not None and known.content == content:
            return known
        reply = _encode_reply(replica.newer_than(newer_than)).SerializeToString()
        compressed = zlib.compress(reply, COMPRESSION_LEVEL)
        starts = range(0, len(compressed), PART_BYTES)
        parts = tuple(compressed[start : start + PART_BYTES] for start in starts)
        encoded = _EncodedReply(content, parts)
        self._encoded_by_kind[replica.kind] = encoded
        return encoded


@dataclass(frozen=True, slots=True)
class _EncodedReply:
    """The compressed parts of a reply.

    Attributes
    ----------
    content : tuple of int
        Identifies the changes: the revision after which they are, and the state of the replica.
    """

    content: tuple[int, int, int]
    parts: tuple[bytes, ...]


async def _receive(channel: Channel, message: pb.PullRequest) -> list[pb.PullReply]:
    """Return the messages of a reply.

    The timeout applies to each message: a reply that is slow because of its size must not be
    abandoned, since the next attempt would start from its beginning and fail in the same way.
    """
    received: list[pb.PullReply] = []
    async with ReplicaStub(channel).Pull.open() as stream:
        async with asyncio.timeout(PULL_TIMEOUT_S):
            await stream.send_message(message, end=True)
        while True:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                reply = await stream.recv_message()
            if reply is None:
                return received
            received.append(reply)


def _join(received: list[pb.PullReply]) -> pb.PullReply:
    """Return the reply in the received messages.

    Raises
    ------
    ValueError
        A part is missing, or the parts are malformed.
    """
    if not received:
        raise ValueError("the reply is empty")
    first = received[0]
    if first.parts == 0:
        return first
    if len(received) != first.parts:
        raise ValueError(f"{len(received)} of {first.parts} parts")
    try:
        reply = pb.PullReply.FromString(zlib.decompress(b"".join(each.part for each in received)))
    except (zlib.error, DecodeError) as error:
        raise ValueError(str(error)) from None
    reply.age_ms = first.age_ms
    return reply


def _encode_reply(batch: Batch) -> pb.PullReply:
    objects = [_encode_change(change) for change in batch.changes]
    return pb.PullReply(
        revision=number_of(batch.revision),
        era=era_of(batch.revision),
        whole=batch.whole,
        copied_through=number_of(batch.copied_through),
        objects=objects,
    )


def _encode_change(change: StoredChange) -> pb.PulledObject:
    deleted = change.value is None
    value = b"" if deleted else json.dumps(change.value, separators=(",", ":")).encode()
    return pb.PulledObject(
        name=change.name,
        revision=number_of(change.revision),
        era=era_of(change.revision),
        deleted=deleted,
        value=value,
    )


def _decode_change(item: pb.PulledObject) -> StoredChange:
    revision = revision_in_era(item.era, item.revision)
    return StoredChange(item.name, revision, None if item.deleted else json.loads(item.value))
