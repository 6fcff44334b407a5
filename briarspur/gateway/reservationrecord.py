"""The record in the store of the customers' reservations."""

from collections.abc import Mapping
from typing import Any

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from briarspur.gateway.reservations import Reservation

__all__ = ["RECORD_NAME", "decode_reservations", "encode_reservations"]

RECORD_NAME = "latest"


class _Reservation(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)

    granted: int = Field(ge=0)
    counted: int = Field(ge=0)


class _Document(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)

    customers: dict[str, _Reservation]


def encode_reservations(reservations: Mapping[str, Reservation]) -> dict[str, Any]:
    """Return the stored form of the reservations by customer."""
    return {
        "customers": {
            name: {"granted": found.granted, "counted": found.counted}
            for name, found in sorted(reservations.items())
        }
    }


def decode_reservations(value: Any) -> Result[dict[str, Reservation], str]:
    """Return the reservations by customer, or a description of the fault."""
    try:
        document = _Document.model_validate(value)
    except ValidationError as error:
        return Error(f"{error.error_count()} fields missing or malformed")
    return Ok(
        {
            name: Reservation(found.granted, max(found.granted, found.counted))
            for name, found in document.customers.items()
        }
    )
