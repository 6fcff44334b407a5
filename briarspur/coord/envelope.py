"""The form in which the conditional writer stores a value: who wrote it, and under which lease."""

import json
from dataclasses import dataclass

from expression import Error, Ok, Result

__all__ = ["Envelope", "open_envelope"]

CHAIN_LENGTH = 16


@dataclass(frozen=True, slots=True)
class Envelope:
    """A value with the token of its write.

    Attributes
    ----------
    token : str
        Unique to one write, so that its writer can recognise it.
    term : int
        Term of the lease it was written under; 0 without a lease.
    body : str
        What the writer wants to keep.
    earlier : tuple of str
        Tokens of the writes before it, oldest first, at most ``CHAIN_LENGTH``.
    """

    token: str
    term: int
    body: str
    earlier: tuple[str, ...] = ()

    @property
    def chain(self) -> tuple[str, ...]:
        """Tokens of the latest writes, this one last."""
        return (*self.earlier, self.token)

    @property
    def begins_with_creation(self) -> bool:
        """Whether the chain goes back to the write that created the object."""
        return len(self.earlier) < CHAIN_LENGTH

    def follow(self, token: str, term: int, body: str) -> "Envelope":
        """Return the envelope of a write made on top of this one."""
        return Envelope(token, term, body, self.chain[-CHAIN_LENGTH:])

    def encode(self) -> bytes:
        """Return the stored form."""
        fields = {"token": self.token, "term": self.term, "earlier": self.earlier}
        return json.dumps(fields | {"body": self.body}, separators=(",", ":")).encode()


def open_envelope(value: bytes) -> Result[Envelope, str]:
    """Return the envelope that ``value`` is, or why it is none."""
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
