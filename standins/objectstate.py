"""The stand-in platform's state: objects with their history, the VM list, call rates."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any, Literal

from pydantic import Field

from briarspur.coord.store import ABSENT, StoredObject
from briarspur.documents import Document

__all__ = ["Objects", "Rate", "Switches", "VmHistory"]

HISTORY = 64


class Switches(Document):
    """What ``POST /control`` may set; see docs/PLATFORM.md."""

    outage: Literal["none", "refuse", "hang"] = "none"
    slow_s: float = Field(default=0.0, ge=0.0)
    reads_per_s: float = Field(default=2_000.0, gt=0.0)
    writes_per_s: float = Field(default=400.0, gt=0.0)
    lose_writes: int = Field(default=0, ge=0)
    stale_s: float = Field(default=0.0, ge=0.0)
    vm_lag_s: float = Field(default=0.0, ge=0.0)
    vms: list[dict[str, Any]] = Field(default=[])


@dataclass(slots=True)
class Rate:
    """A token bucket that holds one second's calls."""

    per_s: float
    tokens: float = 0.0
    at: float = float("-inf")

    def take(self, now: float) -> bool:
        """Take one call; False if the rate is used up."""
        self.tokens = min(self.per_s, self.tokens + (now - self.at) * self.per_s)
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class Past:
    """An object as it was from ``since`` on; ``current`` is None while there is none."""

    since: float
    current: StoredObject | None


@dataclass(slots=True)
class Objects:
    """Objects by name, each with its latest states, so that reads can be old."""

    version: int = 0
    past_by_name: dict[str, list[Past]] = field(default_factory=lambda: defaultdict(list))

    def read(self, name: str, as_of: float) -> StoredObject | None:
        """Return the object as it was at ``as_of``."""
        for past in reversed(self.past_by_name.get(name, [])):
            if past.since <= as_of:
                return past.current
        return None

    def list(self, prefix: str, as_of: float) -> list[StoredObject]:
        """Return the objects below ``prefix`` as they were at ``as_of``."""
        names = sorted(name for name in self.past_by_name if name.startswith(prefix))
        found = [self.read(name, as_of) for name in names]
        return [item for item in found if item is not None]

    def version_of(self, name: str) -> int:
        """Return the newest version, ``ABSENT`` if there is no object."""
        newest = self.read(name, float("inf"))
        return newest.version if newest else ABSENT

    def write(self, name: str, value: bytes | None, now: float) -> int:
        """Write, or delete if ``value`` is None; return the new version."""
        self.version += 1
        current = None if value is None else StoredObject(name, self.version, value)
        history = self.past_by_name[name]
        history.append(Past(now, current))
        del history[:-HISTORY]
        return self.version


@dataclass(slots=True)
class VmHistory:
    """The VM list, seen with a lag."""

    lists: list[tuple[float, list[dict[str, Any]]]] = field(default_factory=list)

    def set(self, vms: list[dict[str, Any]], now: float) -> None:
        """Change the list."""
        self.lists = [*self.lists[-HISTORY:], (now, vms)]

    def read(self, as_of: float) -> list[dict[str, Any]]:
        """Return the list as it was; the first one if that is before all."""
        seen = [vms for since, vms in self.lists if since <= as_of]
        if seen:
            return seen[-1]
        return self.lists[0][1] if self.lists else []
