"""Pool of connections to backend servers, which are reused while they are likely to be open."""

from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.error import ConnectError
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from briarspur.gateway.connection import TargetConnection

__all__ = ["ConnectionPool", "PendingConnection"]

CONNECT_TIMEOUT_S = 0.5
"""The round trip between the farthest regions takes 70 ms; a server that has not accepted after
seven times that is down or partitioned, and another one is tried."""
DEFAULT_KEEP_ALIVE_S = 8.0
"""Idle time of a connection whose server specifies no keep-alive timeout."""
KEEP_ALIVE_MARGIN_S = 1.0
"""An idle connection is not reused this long before the server's keep-alive timeout, so that no
request is sent while the server closes the connection."""
MAX_IDLE_UNREPEATABLE_S = 2.0
"""Longest idle time of a connection for a request that can't be repeated: if the connection is lost
its outcome is unknown, and a new connection costs little in comparison."""
MISSING_ID_S = 60.0
"""Time for which requests that can't be repeated get new connections to a server after a response
without a request id: over a used connection, its rejections could not be told from others."""


class PoolReactor(Protocol):
    """The methods of the reactor that the pool uses."""

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
        """Open a TCP connection."""


class PendingConnection:
    """A connection attempt that can be cancelled.

    Attributes
    ----------
    on_connected : callable
        Called with the connection and the seconds it took to open it.
    on_failed : callable
        Called with the reason.
    finished : bool
        Connected, failed or cancelled; neither callback is called afterwards.
    """

    def __init__(
        self,
        on_connected: Callable[[TargetConnection, float], None],
        on_failed: Callable[[str], None],
    ) -> None:
        self.on_connected = on_connected
        self.on_failed = on_failed
        self.finished = False
        self.connector: Any = None

    def cancel(self) -> None:
        """Cancel the attempt; neither callback is called afterwards."""
        if not self.finished:
            self.finished = True
            if self.connector is not None:
                self.connector.disconnect()


class ConnectionPool:
    """Keeps idle connections by address and owns them until :meth:`close`.

    Parameters
    ----------
    source : str or None
        Local IP address to connect from.

    Attributes
    ----------
    open_by_address : Counter
        Connections that are open or being opened.
    created : int
        Connections attempted since the start.
    """

    def __init__(self, reactor: PoolReactor, source: str | None = None) -> None:
        self._reactor = reactor
        self._bind_address = None if source is None else (source, 0)
        self._idle: dict[tuple[str, int], list[TargetConnection]] = defaultdict(list)
        self.open_by_address: Counter[tuple[str, int]] = Counter()
        self._ids_missing_until: dict[tuple[str, int], float] = {}
        self.created = 0

    def acquire_idle(self, address: tuple[str, int], repeatable: bool) -> TargetConnection | None:
        """Return the most recently used idle connection that is likely to be open, if any."""
        if not repeatable and address in self._ids_missing_until:
            return None
        idle = self._idle.get(address)
        now = self._reactor.seconds()
        while idle:
            connection = idle[-1]
            idle_s = now - connection.idle_since
            if idle_s > _max_idle_s(connection):
                idle.pop()
                connection.abort()
                continue
            if not repeatable and idle_s > MAX_IDLE_UNREPEATABLE_S:
                return None
            return idle.pop()
        return None

    def connect(self, address: tuple[str, int], pending: PendingConnection) -> None:
        """Open a connection and pass the result to the callbacks of ``pending``."""
        factory = _ConnectionFactory(self, address, pending, self._reactor.seconds())
        self.created += 1
        self.open_by_address[address] += 1
        pending.connector = self._reactor.connectTCP(
            address[0], address[1], factory, CONNECT_TIMEOUT_S, self._bind_address
        )

    def discard_idle(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address where another connection failed."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        now = self._reactor.seconds()
        for address, until in list(self._ids_missing_until.items()):
            if until <= now:
                del self._ids_missing_until[address]
        for address, idle in list(self._idle.items()):
            expired = [c for c in idle if now - c.idle_since > _max_idle_s(c)]
            kept = [c for c in idle if now - c.idle_since <= _max_idle_s(c)]
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
            for connection in expired:
                connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.discard_idle(address)

    def seconds(self) -> float:
        """Return monotonic seconds."""
        return self._reactor.seconds()

    def connection_idle(self, connection: TargetConnection) -> None:
        """Keep a connection for reuse."""
        connection.idle_since = self._reactor.seconds()
        self._idle[connection.address].append(connection)

    def id_missing(self, address: tuple[str, int]) -> None:
        """Record that a response of a server had no request id."""
        self._ids_missing_until[address] = self._reactor.seconds() + MISSING_ID_S

    def connection_closed(self, connection: TargetConnection) -> None:
        """Forget a closed connection."""
        self.count_closed(connection.address)
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)

    def count_closed(self, address: tuple[str, int]) -> None:
        """Decrement the count of open connections."""
        self.open_by_address[address] -= 1
        if self.open_by_address[address] <= 0:
            del self.open_by_address[address]


def _max_idle_s(connection: TargetConnection) -> float:
    if connection.keep_alive_s is None:
        return DEFAULT_KEEP_ALIVE_S
    return max(0.0, connection.keep_alive_s - KEEP_ALIVE_MARGIN_S)


class _ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(
        self,
        pool: ConnectionPool,
        address: tuple[str, int],
        pending: PendingConnection,
        started: float,
    ) -> None:
        self._pool = pool
        self._address = address
        self._pending = pending
        self._started = started

    def buildProtocol(self, addr: object) -> TargetConnection:  # noqa: N802
        connection = _NewConnection(self._pool, self._address)
        connection.on_connection_made = self._connected
        return connection

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: N802
        self._pool.count_closed(self._address)
        if not self._pending.finished:
            self._pending.finished = True
            self._pending.on_failed(type(reason.value or ConnectError()).__name__)

    def _connected(self, connection: TargetConnection) -> None:
        if self._pending.finished:
            connection.abort()
            return
        self._pending.finished = True
        self._pending.on_connected(connection, self._pool.seconds() - self._started)


class _NewConnection(TargetConnection):
    on_connection_made: Callable[[TargetConnection], None] = staticmethod(lambda connection: None)

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.on_connection_made(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        super().connectionLost(reason)
