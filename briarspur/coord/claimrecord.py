"""The stored form of a claim."""

import json
from dataclasses import dataclass

from briarspur.coord.keys import Key

__all__ = ["ClaimRecord", "claim_name"]


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The claim of one key.

    Attributes
    ----------
    token : str
        Unique among all claims, so that an entry recognises its own.
    incarnation : str
        The entry process that holds the claim.
    created_at : float
        Unix time in seconds.
    """

    token: str
    incarnation: str
    body_digest: bytes
    created_at: float

    def encode(self) -> bytes:
        """Return the stored form."""
        fields = {
            "token": self.token,
            "incarnation": self.incarnation,
            "digest": self.body_digest.hex(),
            "at": self.created_at,
        }
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> "ClaimRecord":
        """Parse the stored form."""
        fields = json.loads(value)
        digest = bytes.fromhex(fields["digest"])
        return cls(fields["token"], fields["incarnation"], digest, float(fields.get("at", 0.0)))


def claim_name(key: Key) -> str:
    """Return the name of the object that holds the claim of ``key``."""
    return f"claims/{key.digest}"
