"""Objects that a backend server handled recently, as far as this entry knows."""

from collections import OrderedDict

__all__ = ["Warmth", "object_key"]

MAX_OBJECTS = 256
"""Objects remembered per backend server; 256 of them take about 30 kB."""
KEY_MASK = 0xFFFFFFFF


def object_key(route: str, key: bytes) -> int:
    """Return a 32-bit hash that identifies an object of a route, the same in every process."""
    from zlib import crc32

    return crc32(key, crc32(route.encode())) & KEY_MASK


class Warmth:
    """Objects that one incarnation of a backend server handled, most recent last."""

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        self._seen: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._seen)

    def __contains__(self, key: int) -> bool:
        return key in self._seen

    def add(self, key: int) -> bool:
        """Record a request for an object at the server; return whether the object is new there."""
        new = key not in self._seen
        if new:
            self._seen[key] = None
            if len(self._seen) > MAX_OBJECTS:
                self._seen.popitem(last=False)
        else:
            self._seen.move_to_end(key)
        return new

    def discard(self, key: int) -> None:
        """Remove an object that isn't warm at the server."""
        self._seen.pop(key, None)

    def latest(self, count: int) -> list[int]:
        """Return at most ``count`` objects, the most recent ones."""
        return list(self._seen)[-count:] if count > 0 else []

    def clear(self) -> None:
        """Remove all objects, after the server has lost them."""
        self._seen.clear()
