"""The stored form of the policy's revisions.

The object ``policy`` holds the revision in force. Each revision is also stored as
``history/policy/<version>``, with the version padded to 12 digits so that names sort by version.
"""

import json
from dataclasses import dataclass

from pydantic import Field, ValidationError

from briarspur.coord.store import ABSENT, StoredObject
from briarspur.documents import Document, faults_of
from briarspur.errors import DocumentError
from briarspur.policy import PolicyDocument

__all__ = [
    "HISTORY_PREFIX",
    "MAX_AUTHOR_LENGTH",
    "MAX_NOTE_LENGTH",
    "POLICY_NAME",
    "Draft",
    "Revision",
    "decode_revision",
    "encode_revision",
    "history_name",
    "policy_order",
]

POLICY_NAME = "policy"
HISTORY_PREFIX = "history/policy/"
VERSION_DIGITS = 12
MAX_AUTHOR_LENGTH = 100
MAX_NOTE_LENGTH = 1_000


class EnvelopeDocument(Document):
    """The stored form of a revision."""

    token: str = Field(min_length=1, max_length=100)
    author: str = Field(max_length=MAX_AUTHOR_LENGTH)
    note: str = Field(max_length=MAX_NOTE_LENGTH)
    written_at: str = Field(default="", max_length=40, description="the author's UTC clock")
    previous: int = Field(default=ABSENT, ge=ABSENT, description="the version it replaced")
    body: PolicyDocument


@dataclass(frozen=True, slots=True)
class Draft:
    """A policy to be written as a new revision; ``token`` is unique to this write."""

    document: PolicyDocument
    token: str
    author: str
    note: str
    written_at: str


@dataclass(frozen=True, slots=True)
class Revision:
    """One accepted version of the policy.

    Attributes
    ----------
    version : int
        The store's version of the object ``policy`` with this revision.
    token : str
        Unique to one write, so that after a lost response the writer can recognize its own write.
    written_at : str
        ISO 8601 time by the author's clock; empty if unknown. For display only: revisions are
        ordered by version.
    previous : int
        The version that this one replaced; ``ABSENT`` if there was none. It links the history,
        because versions come from one counter for the whole store and are not consecutive.
    """

    version: int
    token: str
    author: str
    note: str
    written_at: str
    previous: int
    document: PolicyDocument


def history_name(version: int) -> str:
    """Return the name of the history object for ``version``."""
    return f"{HISTORY_PREFIX}{version:0{VERSION_DIGITS}d}"


def encode_revision(draft: Draft, previous: int) -> bytes:
    """Encode a draft that replaces the version ``previous``."""
    envelope = {
        "token": draft.token,
        "author": draft.author,
        "note": draft.note,
        "written_at": draft.written_at,
        "previous": previous,
        "body": draft.document.model_dump(mode="json"),
    }
    return json.dumps(envelope, sort_keys=True, separators=(",", ":")).encode()


def decode_revision(value: bytes, version: int) -> Revision:
    """Decode a stored revision.

    Raises
    ------
    DocumentError
        The value is not a valid envelope or does not contain a valid policy.
    """
    try:
        envelope = EnvelopeDocument.model_validate_json(value)
    except ValidationError as error:
        raise DocumentError(f"{POLICY_NAME} version {version}", faults_of(error)) from None
    return Revision(
        version=version,
        token=envelope.token,
        author=envelope.author,
        note=envelope.note,
        written_at=envelope.written_at,
        previous=envelope.previous,
        document=envelope.body,
    )


def policy_order(stored: StoredObject) -> int:
    """Return the position of a valid stored revision among all revisions of the policy.

    Each revision records the version that it replaced, which grows from one to the next.
    """
    return decode_revision(stored.value, stored.version).previous
