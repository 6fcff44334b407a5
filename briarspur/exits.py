"""Exit codes of the command line; ``docs/EXIT-CODES.md`` lists them."""

from enum import IntEnum

__all__ = ["EXIT_MEANINGS", "ExitCode"]


class ExitCode(IntEnum):
    """What became of a command; numbers are never given a new meaning."""

    OK = 0
    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    STORE_UNAVAILABLE = 4
    UNSETTLED = 5
    NOT_DONE = 6
    REFUSED = 7
    NO_ENTRY = 8


EXIT_MEANINGS: dict[ExitCode, str] = {
    ExitCode.OK: "done",
    ExitCode.FAILED: "a fault of briarspur; standard error says which",
    ExitCode.INVALID: "the arguments, the settings or the document are not valid; nothing changed",
    ExitCode.CONFLICT: "the policy is not at the expected version; nothing changed",
    ExitCode.STORE_UNAVAILABLE: "the store cannot be reached or refuses calls; nothing changed",
    ExitCode.UNSETTLED: "a write got no answer and may be in force: see `briarspur history`",
    ExitCode.NOT_DONE: "the time given by `--wait` is over and it is not done yet; it goes on",
    ExitCode.REFUSED: "it makes no sense with the policy in force; nothing changed",
    ExitCode.NO_ENTRY: "no entry answered",
}
