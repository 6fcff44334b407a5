"""Validation errors of platform documents, formatted on one line."""

from pydantic import ValidationError

__all__ = ["first_fault"]


def first_fault(error: ValidationError) -> str:
    """Return the path and message of the first error in a document."""
    first = error.errors(include_url=False, include_input=False)[0]
    return f"{'.'.join(str(part) for part in first['loc'])}: {first['msg']}"
