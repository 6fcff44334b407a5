"""Validation of JSON documents by pydantic models; each fault has the path of its field."""

import json
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from briarspur.errors import DocumentError, Fault, SettingsError

__all__ = ["Document", "canonical", "faults_of", "load_settings", "parse"]

M = TypeVar("M", bound=BaseModel)


class Document(BaseModel):
    """Base of the models of external data: unknown keys are rejected, instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


def parse(model: type[M], text: str | bytes, source: str) -> M:
    """Parse JSON and validate it against ``model``.

    Raises
    ------
    DocumentError
        Contains all faults, each with its path in the document.
    """
    try:
        return model.model_validate_json(text)
    except ValidationError as error:
        raise DocumentError(source, faults_of(error)) from None


def faults_of(error: ValidationError) -> list[Fault]:
    """Convert a pydantic error to faults, each with its path and the constraint it violates."""
    return [
        Fault(".".join(str(part) for part in item["loc"]) or "(document)", item["msg"])
        for item in error.errors(include_url=False, include_input=False)
    ]


def load_settings(model: type[M], path: str) -> M:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        The file cannot be read or its content is not valid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path, [Fault("(file)", str(error))]) from None
    try:
        return parse(model, text, path)
    except DocumentError as error:
        raise SettingsError(path, error.faults) from None


def canonical(document: BaseModel) -> bytes:
    """Encode a document in canonical form, so that digests can be compared."""
    text = json.dumps(document.model_dump(mode="json"), sort_keys=True, separators=(",", ":"))
    return text.encode()
