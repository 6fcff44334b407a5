"""The record of an idempotency key, and the possible results for a request that carries it."""

from dataclasses import dataclass, field
from enum import Enum

from briarspur.coord.keys import Key

__all__ = [
    "SETTLED_STATES",
    "AdmitResult",
    "Expired",
    "Fresh",
    "MemoryFull",
    "Joined",
    "KeptAnswer",
    "KeyRecord",
    "KeyState",
    "OutcomeLost",
    "NotHome",
    "NotIssued",
    "Replay",
    "KeyReused",
]


class KeyState(Enum):
    """Progress of the request that belongs to a key.

    ``FREE`` is a foreign key that this entry has claimed and that was not run: the next request
    with the key runs without a second claim.
    """

    FREE = "free"
    HELD = "held"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    UNKNOWN = "unknown"


SETTLED_STATES = (KeyState.FREE, KeyState.FINISHED, KeyState.UNKNOWN)
"""States in which no request waits for the key."""


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A complete answer that is stored for repeats."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Size of the headers and body in bytes, without Python's object overhead."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


@dataclass(frozen=True, slots=True)
class Fresh:
    """The key was accepted and this request runs it.

    Attributes
    ----------
    claimed : bool
        Used for foreign keys only: this entry already holds the claim. If False, the key must be
        claimed before dispatch.
    """

    claimed: bool = False


@dataclass(frozen=True, slots=True)
class Joined:
    """The key is already running; this request waits for the same outcome."""


@dataclass(frozen=True, slots=True)
class Replay:
    """The key has finished; ``answer`` is None if it was not stored."""

    answer: KeptAnswer | None


@dataclass(frozen=True, slots=True)
class OutcomeLost:
    """The key was dispatched and its outcome is unknown; it is never run again."""


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was first used for a request with another digest."""


@dataclass(frozen=True, slots=True)
class Expired:
    """The key has expired and its outcome may have been removed; it is not run."""


@dataclass(frozen=True, slots=True)
class NotIssued:
    """The key's expiry is later than any look-up issues, so the key is forged."""


@dataclass(frozen=True, slots=True)
class MemoryFull:
    """Not run: the memory is full of unexpired keys, or closed for a planned stop."""


@dataclass(frozen=True, slots=True)
class NotHome:
    """The home of the key is another incarnation."""

    incarnation: str


AdmitResult = (
    Fresh | Joined | Replay | OutcomeLost | KeyReused | Expired | NotIssued | MemoryFull | NotHome
)


@dataclass(slots=True)
class KeyRecord:
    """The stored state of one key; ``expiry`` is in unix seconds."""

    key: Key
    body_digest: bytes
    expiry: float
    state: KeyState = KeyState.HELD
    claimed: bool = False
    attempt_id: int | None = None
    answer: KeptAnswer | None = None
    waiting: list[str] = field(default_factory=list)
