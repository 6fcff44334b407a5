"""Exit codes of the command line; ``docs/EXIT-CODES.md`` lists them."""

from enum import IntEnum

__all__ = ["EXIT_MEANINGS", "ExitCode"]


class ExitCode(IntEnum):
    """The result of a command; numbers are never reused for another meaning."""

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
    ExitCode.FAILED: "an internal error of briarspur, described on standard error",
    ExitCode.INVALID: "the arguments, the settings or the document are invalid; nothing changed",
    ExitCode.CONFLICT: "the policy is not at the expected version; nothing changed",
    ExitCode.STORE_UNAVAILABLE: "the store is unreachable or rejects calls; nothing changed",
    ExitCode.UNSETTLED: "a write got no response and may be in force: see `briarspur history`",
    ExitCode.NOT_DONE: "the time limit of `--wait` expired before it was done; it continues",
    ExitCode.REFUSED: "the command does not apply to the policy in force; nothing changed",
    ExitCode.NO_ENTRY: "no entry responded",
}
