"""Outcomes that an incarnation leaves in the object store on a planned stop.

A repeat that comes after the stop gets its answer from them at another entry. Readers never
dispatch. The outcomes are split into pages by the digest of the key, because an object holds at
most a megabyte; each page says how many there are.
"""

import base64
import json
from dataclasses import dataclass
from typing import Any

from briarspur.coord.keys import Key
from briarspur.coord.keystates import KeptAnswer, KeyRecord, KeyState
from briarspur.coord.once import KeyMemory

__all__ = [
    "FinishedOutcome",
    "ForgottenOutcome",
    "NeverRun",
    "Outcome",
    "OutcomePage",
    "UnknownOutcome",
    "WrongPage",
    "outcomes_of",
    "page_name",
    "read_outcome",
]

PAGE_BYTES = 700_000
KEY_BYTES = 200


@dataclass(frozen=True, slots=True)
class OutcomePage:
    """One object to write; create it, since an incarnation stops only once."""

    name: str
    value: bytes


@dataclass(frozen=True, slots=True)
class FinishedOutcome:
    """The key was run; ``answer`` is None if it was not kept."""

    body_digest: bytes
    answer: KeptAnswer | None


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """The key was dispatched; what became of it is unknown."""

    body_digest: bytes


@dataclass(frozen=True, slots=True)
class NeverRun:
    """The incarnation ended without ever dispatching the key, and it alone could have."""


@dataclass(frozen=True, slots=True)
class ForgottenOutcome:
    """The key had expired before the stop; it may have run."""


@dataclass(frozen=True, slots=True)
class WrongPage:
    """The outcome is on another page."""

    name: str


Outcome = FinishedOutcome | UnknownOutcome | NeverRun | ForgottenOutcome | WrongPage


def page_name(incarnation: str, number: int = 0) -> str:
    """Return the name of a page; readers begin with page 0."""
    name = f"outcomes/{incarnation}"
    return f"{name}/{number}" if number else name


def outcomes_of(memory: KeyMemory, page_bytes: int = PAGE_BYTES) -> list[OutcomePage]:
    """Close the memory and return what a planned stop writes, page 0 last.

    Page 0 is written last so that whoever finds it finds the others too.
    """
    # A key absent from the pages is reported as never run. That is true only if nothing is
    # dispatched after this moment, so the memory is closed first.
    memory.close()
    records = [record for record in memory.records() if _ran(record)]
    size = sum(KEY_BYTES + (record.answer.size * 2 if record.answer else 0) for record in records)
    pages = size // page_bytes + 1
    by_page: dict[int, dict[str, Any]] = {number: {} for number in range(pages)}
    for record in records:
        by_page[_page_of(record.key, pages)][record.key.digest] = _encode(record)
    forgotten = memory.forgotten_through if memory.forgotten_through > 0 else 0
    return [
        OutcomePage(
            page_name(memory.incarnation, number),
            _dump(
                {
                    "incarnation": memory.incarnation,
                    "at": memory.unix_time,
                    "pages": pages,
                    "page": number,
                    "forgotten_through": forgotten,
                    "keys": keys,
                }
            ),
        )
        for number, keys in sorted(by_page.items(), reverse=True)
    ]


def read_outcome(value: bytes, key: Key) -> Outcome:
    """Return what a page says of a key.

    Parameters
    ----------
    value : bytes
        Any page of the key's home incarnation; page 0 at first.
    key : Key
        A key whose home the incarnation is; a foreign key is looked up by its claim's holder.
    """
    page = json.loads(value)
    number = _page_of(key, page["pages"])
    if number != page["page"]:
        return WrongPage(page_name(page["incarnation"], number))
    entry = page["keys"].get(key.digest)
    if entry is not None:
        return _decode(entry)
    # The home forgot expired keys by its own clock. A reader whose clock is behind would take
    # such a key for one that never ran, and its caller would book again.
    if key.expiry is None or key.expiry <= page["forgotten_through"]:
        return ForgottenOutcome()
    return NeverRun()


def _ran(record: KeyRecord) -> bool:
    return record.state in (KeyState.DISPATCHED, KeyState.FINISHED, KeyState.UNKNOWN)


def _page_of(key: Key, pages: int) -> int:
    return int(key.digest[:8], 16) % pages


def _dump(page: dict[str, Any]) -> bytes:
    return json.dumps(page, separators=(",", ":")).encode()


def _encode(record: KeyRecord) -> dict[str, Any]:
    entry: dict[str, Any] = {"digest": record.body_digest.hex()}
    if record.state is not KeyState.FINISHED:
        entry["unknown"] = True
    if record.answer is not None:
        entry["status"] = record.answer.status
        entry["headers"] = [[_text(name), _text(value)] for name, value in record.answer.headers]
        entry["body"] = base64.b64encode(record.answer.body).decode()
    return entry


def _decode(entry: dict[str, Any]) -> Outcome:
    digest = bytes.fromhex(entry["digest"])
    if entry.get("unknown"):
        return UnknownOutcome(digest)
    if "status" not in entry:
        return FinishedOutcome(digest, None)
    headers = tuple((_bytes(name), _bytes(value)) for name, value in entry["headers"])
    answer = KeptAnswer(entry["status"], headers, base64.b64decode(entry["body"]))
    return FinishedOutcome(digest, answer)


def _text(header: bytes) -> str:
    return header.decode("latin-1")


def _bytes(header: str) -> bytes:
    return header.encode("latin-1")
