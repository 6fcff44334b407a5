"""The customers of a configuration, looked up by the API keys of their requests."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

__all__ = ["Customer", "Customers", "key_digest"]

DIGEST_BYTES = 16


def key_digest(key: bytes) -> bytes:
    """Return the digest that is stored in place of an API key, since the key itself is secret."""
    return blake2b(key, digest_size=DIGEST_BYTES).digest()


@dataclass(frozen=True, slots=True)
class Customer:
    """The holder of an API key.

    Attributes
    ----------
    priority : int
        0 is the most urgent priority.
    per_s, burst : float
        Requests per second over all entries, and how many beyond them may arrive in a burst; no
        limit if ``per_s`` is 0.
    regions : frozenset of str
        Regions where its requests may run; empty for all.
    """

    name: str
    priority: int = 0
    per_s: float = 0.0
    burst: float = 0.0
    regions: frozenset[str] = frozenset()


class Customers:
    """Looks up customers by the digests of their keys.

    A key that several customers claim is assigned to none of them: its requests might run under the
    name of another customer.

    Parameters
    ----------
    digests_by_customer : mapping
        The digests of each customer's keys.
    complete : bool
        All customers could be read. If not, an unknown key may belong to a skipped one.

    Attributes
    ----------
    names_with_shared_keys : frozenset of str
        Names of customers that claim a key of another customer.
    """

    def __init__(
        self,
        digests_by_customer: Mapping[Customer, Iterable[bytes]] | None = None,
        complete: bool = True,
    ) -> None:
        self._by_digest: dict[bytes, Customer] = {}
        ambiguous: set[bytes] = set()
        names_with_shared_keys: set[str] = set()
        for customer, digests in (digests_by_customer or {}).items():
            for digest in digests:
                other = self._by_digest.setdefault(digest, customer)
                if other is not customer:
                    ambiguous.add(digest)
                    names_with_shared_keys.update((other.name, customer.name))
        for digest in ambiguous:
            del self._by_digest[digest]
        self.names_with_shared_keys = frozenset(names_with_shared_keys)
        self.complete = complete and not ambiguous
        self.required = bool(digests_by_customer) or not complete
        self.by_name = {customer.name: customer for customer in digests_by_customer or ()}

    def find(self, digest: bytes | None) -> Customer | None:
        """Return the holder of a key; None if the key is unknown."""
        return None if digest is None else self._by_digest.get(digest)
