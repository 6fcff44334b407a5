"""Transfers copies of the store's objects between entries by gRPC."""

import json
from collections.abc import Callable

from grpclib.server import Server, Stream

from briarspur.errors import PeerError
from briarspur.gateway import gateway_pb2 as pb
from briarspur.gateway.gateway_grpc import ReplicaBase, ReplicaStub
from briarspur.gateway.replica import FOLLOWED, Batch, Kind, Replica, StoredChange
from briarspur.peerchannels import Address, PeerChannels

__all__ = ["PullClient", "PullResult", "PullServer"]

PULL_TIMEOUT_S = 1.0
"""The largest copy, of some hundred registrations, takes 0.1 s."""
MAX_AGE_S = 3_600.0
MS_PER_S = 1_000
KIND_NUMBERS = frozenset(int(kind) for kind in FOLLOWED)


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
        message = pb.PullRequest(kind=int(kind), newer_than=newer_than)
        reply: pb.PullReply = await self._channels.call(
            address, lambda channel: ReplicaStub(channel).Pull(message), PULL_TIMEOUT_S
        )
        if reply.revision == 0:
            return None
        try:
            changes = tuple(_decode_change(item) for item in reply.objects)
        except ValueError as error:
            raise PeerError(f"{address.host}:{address.port}: malformed copy: {error}") from None
        return PullResult(Batch(reply.revision, changes, reply.whole), reply.age_ms / MS_PER_S)


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
        batch = self._replica_of(Kind(message.kind)).newer_than(message.newer_than)
        await stream.send_message(
            pb.PullReply(
                revision=batch.revision,
                whole=batch.whole,
                objects=[_encode_change(change) for change in batch.changes],
                age_ms=round(min(self._store_age(), MAX_AGE_S) * MS_PER_S),
            )
        )


def _encode_change(change: StoredChange) -> pb.PulledObject:
    deleted = change.value is None
    value = b"" if deleted else json.dumps(change.value, separators=(",", ":")).encode()
    return pb.PulledObject(name=change.name, revision=change.revision, deleted=deleted, value=value)


def _decode_change(item: pb.PulledObject) -> StoredChange:
    return StoredChange(item.name, item.revision, None if item.deleted else json.loads(item.value))
