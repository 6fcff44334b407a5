"""Which objects a backend server handled lately, as far as this entry knows."""

from collections import OrderedDict

__all__ = ["Warmth", "object_key"]

REMEMBERED = 256
"""Objects remembered of one backend server; 256 of them take about 30 kB."""
KEY_BITS = 0xFFFFFFFF


def object_key(route: str, key: bytes) -> int:
    """Return 32 bits that name an object of a route, the same in every process."""
    from zlib import crc32

    return crc32(key, crc32(route.encode())) & KEY_BITS


class Warmth:
    """Objects that one incarnation of a backend server ran, the latest last."""

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        self._seen: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._seen)

    def __contains__(self, key: int) -> bool:
        return key in self._seen

    def add(self, key: int) -> bool:
        """Note that the server ran a request for an object; return whether that is new."""
        new = key not in self._seen
        if new:
            self._seen[key] = None
            if len(self._seen) > REMEMBERED:
                self._seen.popitem(last=False)
        else:
            self._seen.move_to_end(key)
        return new

    def discard(self, key: int) -> None:
        """Forget an object whose request was not run after all."""
        self._seen.pop(key, None)

    def latest(self, most: int) -> list[int]:
        """Return the objects that ran last, at most so many."""
        return list(self._seen)[-most:] if most > 0 else []

    def clear(self) -> None:
        """Forget everything, as the server has."""
        self._seen.clear()
