"""Errors of briarspur's programs; those of the coordination package are in ``coord.errors``."""

from dataclasses import dataclass

__all__ = [
    "BriarspurError",
    "DocumentError",
    "Fault",
    "PeerError",
    "PeerRefusalError",
    "SettingsError",
]


class BriarspurError(Exception):
    """Base class of all errors of the programs."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault in a document: its path, and a message that says what is allowed there."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


class DocumentError(BriarspurError):
    """A JSON document is not valid.

    Parameters
    ----------
    source : str
        File or object that the document was read from.
    faults : list of Fault
        Every fault found, not only the first.
    """

    def __init__(self, source: str, faults: list[Fault]) -> None:
        super().__init__("\n".join(f"{source}: {fault}" for fault in faults))
        self.source = source
        self.faults = faults


class SettingsError(DocumentError):
    """A settings file is not valid."""


class PeerError(BriarspurError):
    """Another entry could not be reached or did not respond."""


class PeerRefusalError(PeerError):
    """Another program refused a request.

    Parameters
    ----------
    name : str
        Name of the program that refused.
    status : int
        HTTP status.
    answer : dict
        JSON document of the refusal; empty if it had none.
    """

    def __init__(self, name: str, status: int, answer: dict[str, object]) -> None:
        code = f" {answer['code']} {answer.get('name', '')}" if "code" in answer else ""
        super().__init__(f"{name}: HTTP status {status}{code}")
        self.status = status
        self.answer = answer
