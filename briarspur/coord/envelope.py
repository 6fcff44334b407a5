"""The stored form of a value of the conditional writer, with its write token and lease term."""

import json
from dataclasses import dataclass

from expression import Error, Ok, Result

__all__ = ["Envelope", "open_envelope"]

MAX_EARLIER_TOKENS = 16


@dataclass(frozen=True, slots=True)
class Envelope:
    """A value with the token of the write that stored it.

    Attributes
    ----------
    token : str
        Unique to one write, so that its writer can recognise the write.
    term : int
        Term of the lease under which it was written; 0 without a lease.
    body : str
        The value itself.
    earlier : tuple of str
        Tokens of the preceding writes, oldest first, at most ``MAX_EARLIER_TOKENS``.
    """

    token: str
    term: int
    body: str
    earlier: tuple[str, ...] = ()

    @property
    def chain(self) -> tuple[str, ...]:
        """Tokens of the latest writes, with the token of this write last."""
        return (*self.earlier, self.token)

    @property
    def reaches_creation(self) -> bool:
        """Whether the chain includes the write that created the object."""
        return len(self.earlier) < MAX_EARLIER_TOKENS

    def successor(self, token: str, term: int, body: str) -> "Envelope":
        """Return the envelope of a write that replaces this one."""
        return Envelope(token, term, body, self.chain[-MAX_EARLIER_TOKENS:])

    def encode(self) -> bytes:
        """Return the stored form."""
        fields = {"token": self.token, "term": self.term, "earlier": self.earlier}
        return json.dumps(fields | {"body": self.body}, separators=(",", ":")).encode()


def open_envelope(value: bytes) -> Result[Envelope, str]:
    """Decode ``value`` into an envelope, or return why it is not one."""
    try:
        fields = json.loads(value)
        return Ok(
            Envelope(
                str(fields["token"]),
                int(fields["term"]),
                str(fields["body"]),
                tuple(str(token) for token in fields.get("earlier", ())),
            )
        )
    except (ValueError, KeyError, TypeError) as error:
        return Error(f"not an envelope: {error!r}")
