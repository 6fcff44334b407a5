"""The record in the store of suspended requests, for entries that start."""

from collections.abc import Iterable
from typing import Any

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from briarspur.gateway.loss import Loss, LossState

__all__ = ["MAX_LOSSES", "decode_losses", "encode_losses"]

MAX_LOSSES = 2_000
"""Losses in one record, 200 kB."""
MS_PER_S = 1_000
MAX_NUMBER = 2**32 - 1
CONTENT_PATTERN = "^[0-9a-f]{16}$"
"""Hexadecimal, since some JSON parsers round integers above 53 bits."""


class _StoredLoss(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    content: str = Field(pattern=CONTENT_PATTERN)
    target: int = Field(ge=0, le=MAX_NUMBER)
    caller: int = Field(ge=0, le=MAX_NUMBER)
    at_ms: int


class _Document(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    losses: tuple[_StoredLoss, ...] = Field(max_length=MAX_LOSSES)


def encode_losses(losses: Iterable[Loss], wall_s: float) -> dict[str, Any]:
    """Return the stored form of confirmed losses, with Unix times."""
    latest = sorted(losses, key=lambda loss: loss.age)[:MAX_LOSSES]
    rows = [
        _StoredLoss(
            content=f"{loss.content:016x}",
            target=loss.target,
            caller=loss.caller,
            at_ms=round((wall_s - loss.age) * MS_PER_S),
        )
        for loss in sorted(latest, key=lambda loss: (loss.content, loss.target))
    ]
    return _Document(losses=tuple(rows)).model_dump(mode="json")


def decode_losses(value: Any, wall_s: float) -> Result[list[Loss], str]:
    """Return the losses of a stored value, or a description of the fault."""
    try:
        document = _Document.model_validate(value)
    except ValidationError as error:
        return Error(f"{error.error_count()} fields missing or mistyped")
    return Ok(
        [
            Loss(
                int(row.content, 16),
                row.target,
                row.caller,
                # The clock of the writer may be ahead.
                max(0.0, wall_s - row.at_ms / MS_PER_S),
                LossState.CONFIRMED,
            )
            for row in document.losses
        ]
    )
