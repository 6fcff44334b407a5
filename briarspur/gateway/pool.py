"""Connections to backend servers: made when needed, kept while they are likely to work."""

from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.error import ConnectError
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from briarspur.gateway.connection import TargetConnection

__all__ = ["PendingConnection", "ConnectionPool"]

CONNECT_TIMEOUT = 0.5
"""Seconds for a new connection. The way between the farthest regions and back takes 70 ms; a server
that has not answered after seven times that is gone or cut off, and another one is tried."""
KEPT_IDLE = 8.0
"""Seconds an idle connection is kept if the server does not say for how long it keeps it."""
IDLE_MARGIN = 1.0
"""Seconds before the server's own limit at which an idle connection is no longer used, so that no
request crosses the server's close."""
FRESH_IDLE = 2.0
"""Seconds of idleness up to which a connection is used for a request that can't be repeated: one
that breaks under it leaves its outcome unknown, and a new connection costs little beside that."""


class PoolReactor(Protocol):
    """The part of the reactor that is used here."""

    def seconds(self) -> float:
        """Return monotonic seconds."""

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: ClientFactory,
        timeout: float = 30,
        bindAddress: tuple[str, int] | None = None,  # noqa: N803
    ) -> Any:
        """Make a connection."""


class PendingConnection:
    """A connection being made; it can be cancelled."""

    def __init__(
        self,
        ready: Callable[[TargetConnection, float], None],
        failed: Callable[[str], None],
    ) -> None:
        self.ready = ready
        self.failed = failed
        self.cancelled = False
        self.connector: Any = None

    def cancel(self) -> None:
        """Stop making it."""
        if not self.cancelled:
            self.cancelled = True
            if self.connector is not None:
                self.connector.disconnect()


class ConnectionPool:
    """Kept connections by address; owns them, so close it.

    Parameters
    ----------
    source : str or None
        IP number to connect from.
    """

    def __init__(self, reactor: PoolReactor, source: str | None = None) -> None:
        self._reactor = reactor
        self._bind = None if source is None else (source, 0)
        self._idle: dict[tuple[str, int], list[TargetConnection]] = defaultdict(list)
        self.open_by_address: Counter[tuple[str, int]] = Counter()
        self.made = 0

    def acquire_idle(self, address: tuple[str, int], repeatable: bool) -> TargetConnection | None:
        """Return a kept connection that is likely to work; the latest used goes first."""
        idle = self._idle.get(address)
        now = self._reactor.seconds()
        while idle:
            connection = idle[-1]
            age = now - connection.idle_since
            if age > _usable_for(connection):
                idle.pop()
                connection.abort()
                continue
            if not repeatable and age > FRESH_IDLE:
                return None
            return idle.pop()
        return None

    def connect(self, address: tuple[str, int], connecting: PendingConnection) -> None:
        """Make a connection; ``connecting`` hears of it, with the seconds it took."""
        factory = _Factory(self, address, connecting, self._reactor.seconds())
        self.made += 1
        self.open_by_address[address] += 1
        connecting.connector = self._reactor.connectTCP(
            address[0], address[1], factory, CONNECT_TIMEOUT, self._bind
        )

    def discard_idle(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address whose others broke."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def sweep(self) -> None:
        """Close what has been idle for too long."""
        now = self._reactor.seconds()
        for address, idle in list(self._idle.items()):
            old = [c for c in idle if now - c.idle_since > _usable_for(c)]
            kept = [c for c in idle if now - c.idle_since <= _usable_for(c)]
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
            for connection in old:
                connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.discard_idle(address)

    def seconds(self) -> float:
        """Return monotonic seconds."""
        return self._reactor.seconds()

    def connection_idle(self, connection: TargetConnection) -> None:
        """Keep a connection for the next request."""
        connection.idle_since = self._reactor.seconds()
        self._idle[connection.address].append(connection)

    def connection_closed(self, connection: TargetConnection) -> None:
        """Drop a connection."""
        self.closed(connection.address)
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)

    def closed(self, address: tuple[str, int]) -> None:
        """Count a connection less."""
        self.open_by_address[address] -= 1
        if self.open_by_address[address] <= 0:
            del self.open_by_address[address]


def _usable_for(connection: TargetConnection) -> float:
    if connection.keeps_for is None:
        return KEPT_IDLE
    return max(0.0, connection.keeps_for - IDLE_MARGIN)


class _Factory(ClientFactory):
    noisy = False

    def __init__(
        self,
        pool: ConnectionPool,
        address: tuple[str, int],
        connecting: PendingConnection,
        started: float,
    ) -> None:
        self._pool = pool
        self._address = address
        self._connecting = connecting
        self._started = started

    def buildProtocol(self, addr: object) -> TargetConnection:  # noqa: N802
        connection = _NewConnection(self._pool, self._address)
        connection.on_made = self._made
        return connection

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: N802
        self._pool.closed(self._address)
        if not self._connecting.cancelled:
            self._connecting.cancelled = True
            self._connecting.failed(type(reason.value or ConnectError()).__name__)

    def _made(self, connection: TargetConnection) -> None:
        if self._connecting.cancelled:
            connection.abort()
            return
        self._connecting.cancelled = True
        self._connecting.ready(connection, self._pool.seconds() - self._started)


class _NewConnection(TargetConnection):
    on_made: Callable[[TargetConnection], None] = staticmethod(lambda connection: None)

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.on_made(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        super().connectionLost(reason)
