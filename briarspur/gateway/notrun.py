"""What a response relies on that tells its caller that the request was not run."""

from enum import Enum

from briarspur.codes import CODES, Code, Ran
from briarspur.gateway.work import Work

__all__ = ["Proof", "proof_of_refusal", "states_not_run"]


class Proof(Enum):
    """Who established that a request was not run."""

    UNSENT = "unsent"
    SERVER = "server"
    ENTRY = "entry"
    NONE = "none"


def states_not_run(code: Code) -> bool:
    """Return whether a gateway that refuses with a code states that it did not run the request."""
    # The product's other programs say unknown with NOT_READ, as a copy with the same key may have
    # run; here each copy has an id of its own.
    return CODES[code].ran is Ran.NO or code is Code.NOT_READ


def proof_of_refusal(work: Work, is_from_entry: bool) -> Proof:
    """Return what a refusal of this process relies on.

    Parameters
    ----------
    is_from_entry : bool
        Whether another entry refused the request.
    """
    if work.may_have_run:
        return Proof.NONE
    if is_from_entry:
        return Proof.ENTRY
    return Proof.SERVER if work.sent else Proof.UNSENT
