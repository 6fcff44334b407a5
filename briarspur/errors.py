"""Errors of briarspur's programs; those of the coordination parts are in ``coord.errors``."""

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
    """Base of every error of the programs."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault in a document: where it is, and what is allowed there."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


class DocumentError(BriarspurError):
    """A JSON document is not valid.

    Parameters
    ----------
    source : str
        File or object the document came from.
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
    """Another entry could not be reached or did not answer."""


class PeerRefusalError(PeerError):
    """Another program answered with a refusal.

    Parameters
    ----------
    name : str
        Who answered.
    status : int
        HTTP status.
    answer : dict
        The refusal's JSON document; empty if there was none.
    """

    def __init__(self, name: str, status: int, answer: dict[str, object]) -> None:
        code = f" {answer['code']} {answer.get('name', '')}" if "code" in answer else ""
        super().__init__(f"{name}: HTTP status {status}{code}")
        self.status = status
        self.answer = answer
