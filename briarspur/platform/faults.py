"""What is wrong with a document of the platform, in one line."""

from pydantic import ValidationError

__all__ = ["first_fault"]


def first_fault(error: ValidationError) -> str:
    """Return the first fault of a document with its place."""
    first = error.errors(include_url=False, include_input=False)[0]
    return f"{'.'.join(str(part) for part in first['loc'])}: {first['msg']}"
