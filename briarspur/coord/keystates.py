"""What is remembered of an idempotency key, and what becomes of a request that carries it."""

from dataclasses import dataclass, field
from enum import Enum

from briarspur.coord.keys import Key

__all__ = [
    "SETTLED",
    "Arrival",
    "Expired",
    "Fresh",
    "Full",
    "Joined",
    "KeptAnswer",
    "KeyRecord",
    "KeyState",
    "Lost",
    "NotHome",
    "NotIssued",
    "Replay",
    "Reused",
]


class KeyState(Enum):
    """How far the request of a key has come.

    ``FREE`` is a foreign key whose claim is ours and that was given back as not run: its next
    arrival runs without a second claim.
    """

    FREE = "free"
    HELD = "held"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    UNKNOWN = "unknown"


SETTLED = (KeyState.FREE, KeyState.FINISHED, KeyState.UNKNOWN)
"""States in which nobody waits for the key."""


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A whole answer that is remembered for repeats."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Bytes it takes, without Python's own overhead."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


@dataclass(frozen=True, slots=True)
class Fresh:
    """Accepted: the caller of this request runs the key.

    Attributes
    ----------
    claimed : bool
        Only for a foreign key: its claim is already ours. If False, claim it before dispatch.
    """

    claimed: bool = False


@dataclass(frozen=True, slots=True)
class Joined:
    """The key runs already: this caller waits for the same outcome."""


@dataclass(frozen=True, slots=True)
class Replay:
    """The key has run; ``answer`` is None if it was not kept."""

    answer: KeptAnswer | None


@dataclass(frozen=True, slots=True)
class Lost:
    """The key was dispatched and its outcome is unknown; it is not run again."""


@dataclass(frozen=True, slots=True)
class Reused:
    """The key belongs to another request."""


@dataclass(frozen=True, slots=True)
class Expired:
    """The key is older than its memory; it is not run."""


@dataclass(frozen=True, slots=True)
class NotIssued:
    """The key's expiry lies further ahead than any look-up sets it: it was forged."""


@dataclass(frozen=True, slots=True)
class Full:
    """The memory is full of unexpired keys, or closed by a planned stop; not run."""


@dataclass(frozen=True, slots=True)
class NotHome:
    """Another incarnation is the key's home."""

    incarnation: str


Arrival = Fresh | Joined | Replay | Lost | Reused | Expired | NotIssued | Full | NotHome


@dataclass(slots=True)
class KeyRecord:
    """What is remembered of one key; ``expiry`` in unix seconds."""

    key: Key
    body_digest: bytes
    expiry: float
    state: KeyState = KeyState.HELD
    claimed: bool = False
    attempt_id: int | None = None
    answer: KeptAnswer | None = None
    waiting: list[str] = field(default_factory=list)
