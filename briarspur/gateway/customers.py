"""The customers of a configuration, found by the keys that their requests carry."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

__all__ = ["Customer", "Customers", "key_digest"]

DIGEST_BYTES = 16


def key_digest(key: bytes) -> bytes:
    """Return what stands for an API key wherever one is kept: the key itself is a secret."""
    return blake2b(key, digest_size=DIGEST_BYTES).digest()


@dataclass(frozen=True, slots=True)
class Customer:
    """Whoever holds an API key.

    Attributes
    ----------
    priority : int
        0 is the most urgent.
    per_s, burst : float
        Requests per second over all entries, and those beyond them that may come at once; no limit
        if ``per_s`` is 0.
    regions : frozenset of str
        Where its requests may run; empty if anywhere.
    """

    name: str
    priority: int = 0
    per_s: float = 0.0
    burst: float = 0.0
    regions: frozenset[str] = frozenset()


class Customers:
    """Finds customers by the digests of their keys.

    A key that several customers claim belongs to none of them: its requests would run under a name
    that may be another's.

    Parameters
    ----------
    digests_by_customer : mapping
        The digests of each customer's keys.
    complete : bool
        All customers could be read. If not, an unknown key may be one of those left out.

    Attributes
    ----------
    shared : frozenset of str
        Names of customers that claim a key of another one.
    """

    def __init__(
        self,
        digests_by_customer: Mapping[Customer, Iterable[bytes]] | None = None,
        complete: bool = True,
    ) -> None:
        self._by_digest: dict[bytes, Customer] = {}
        claimed: set[bytes] = set()
        shared: set[str] = set()
        for customer, digests in (digests_by_customer or {}).items():
            for digest in digests:
                other = self._by_digest.setdefault(digest, customer)
                if other is not customer:
                    claimed.add(digest)
                    shared.update((other.name, customer.name))
        for digest in claimed:
            del self._by_digest[digest]
        self.shared = frozenset(shared)
        self.complete = complete and not claimed
        self.required = bool(digests_by_customer) or not complete
        self.by_name = {customer.name: customer for customer in digests_by_customer or ()}

    def find(self, digest: bytes | None) -> Customer | None:
        """Return the holder of a key, None if nobody is known to hold it."""
        return None if digest is None else self._by_digest.get(digest)
