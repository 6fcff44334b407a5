"""Idempotency keys: those that look-ups hand out, and foreign keys of the callers' own making."""

import hashlib
import re
from dataclasses import dataclass
from enum import Enum

from expression import Error, Ok, Result

__all__ = ["Key", "KeyFault", "make_prefix", "parse_key"]

FORM = "bs1-"
MIN_LENGTH = 8
MAX_LENGTH = 128
HOME_KEY = re.compile(r"bs1-([0-9a-f]{16})-([0-9a-f]{1,12})\.[A-Za-z0-9_-]{8,64}", re.ASCII)
INCARNATION = re.compile(r"[0-9a-f]{16}", re.ASCII)


class KeyFault(Enum):
    """Why a text is not a key."""

    TOO_SHORT = f"shorter than {MIN_LENGTH} characters"
    TOO_LONG = f"longer than {MAX_LENGTH} characters"
    NOT_PRINTABLE = "not printable ASCII"
    BROKEN_PREFIX = f"begins with {FORM} but is not of the form that look-ups hand out"


@dataclass(frozen=True, slots=True)
class Key:
    """An idempotency key.

    Attributes
    ----------
    text : str
        The whole key as the caller sent it.
    incarnation : str or None
        The entry process that alone may dispatch it; None for a foreign key, which needs a claim.
    expiry : int or None
        Unix seconds from which it is refused; None for a foreign key.
    """

    text: str
    incarnation: str | None = None
    expiry: int | None = None

    @property
    def is_foreign(self) -> bool:
        """Whether no look-up handed the key out."""
        return self.incarnation is None

    @property
    def digest(self) -> str:
        """SHA-256 of the key, in hex: its name in the object store."""
        return hashlib.sha256(self.text.encode()).hexdigest()


def make_prefix(incarnation: str, expiry: int) -> str:
    """Return the prefix that a look-up hands out.

    Parameters
    ----------
    incarnation : str
        16 hex digits, random, new with each entry process.
    expiry : int
        Unix seconds from which keys of this prefix are refused.
    """
    if not INCARNATION.fullmatch(incarnation):
        raise ValueError(f"an incarnation is 16 hex digits, not {incarnation!r}")
    return f"{FORM}{incarnation}-{expiry:x}"


def parse_key(text: str) -> Result[Key, KeyFault]:
    """Return the key that ``text`` is, or why it is none."""
    if len(text) < MIN_LENGTH:
        return Error(KeyFault.TOO_SHORT)
    if len(text) > MAX_LENGTH:
        return Error(KeyFault.TOO_LONG)
    if not (text.isascii() and text.isprintable()):
        return Error(KeyFault.NOT_PRINTABLE)
    # A damaged or re-cased key of ours taken for a foreign one would be claimed and run beside
    # the intact key at its home. So everything that begins like ours must be ours to the letter.
    if not text.lower().startswith(FORM):
        return Ok(Key(text))
    match = HOME_KEY.fullmatch(text)
    if match is None:
        return Error(KeyFault.BROKEN_PREFIX)
    return Ok(Key(text, match[1], int(match[2], 16)))
