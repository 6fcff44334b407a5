"""The record in the store of which objects are warm on which servers, for entries that start."""

import base64
import binascii
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, ValidationError

from briarspur.gateway.target import Target

__all__ = ["MAX_PAIRS", "WarmthRecord", "build_record", "decode_record", "encode_record"]

MAX_PAIRS = 4_000
"""Pairs in one record, 43 kB: about 20 objects for each of 200 servers."""
PAIR = struct.Struct(">II")


class _Document(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    at_ms: int
    pairs: str


@dataclass(frozen=True, slots=True)
class WarmthRecord:
    """The warm objects, as pairs of a target's number and an object's key.

    Attributes
    ----------
    at_ms : int
        Unix time of the write, in milliseconds.
    """

    at_ms: int
    pairs: tuple[tuple[int, int], ...]


def build_record(targets: Iterable[Target], at_ms: int) -> WarmthRecord:
    """Return a record with the objects of each target that were used most recently."""
    targets = list(targets)
    max_objects = MAX_PAIRS // max(1, len(targets))
    pairs = [
        (target.number, key) for target in targets for key in target.warmth.latest(max_objects)
    ]
    return WarmthRecord(at_ms, tuple(sorted(pairs)))


def encode_record(record: WarmthRecord) -> dict[str, Any]:
    """Return the stored form of a record."""
    packed = b"".join(PAIR.pack(number, key) for number, key in record.pairs)
    return {"at_ms": record.at_ms, "pairs": base64.b64encode(packed).decode()}


def decode_record(value: Any) -> Result[WarmthRecord, str]:
    """Return the record in a stored value, or a description of the fault."""
    try:
        document = _Document.model_validate(value)
        packed = base64.b64decode(document.pairs, validate=True)
        pairs = tuple((number, key) for number, key in PAIR.iter_unpack(packed))
    except ValidationError as error:
        return Error(f"{error.error_count()} fields missing or mistyped")
    except (binascii.Error, struct.error) as error:
        return Error(f"pairs can't be read: {error}")
    return Ok(WarmthRecord(document.at_ms, pairs))
