"""Refuses requests for as long as an entry cannot decide on them."""

from briarspur.attempts import InboundRequest
from briarspur.codes import Code
from briarspur.refusal import Refusal

__all__ = ["NotReady"]

RETRY_AFTER = 1.0


class NotReady:
    """Takes requests before there is a policy."""

    def handle(self, inbound: InboundRequest) -> None:
        """Refuse a request at once."""
        # Another entry may have run an earlier copy of a keyed request, so only one without a key
        # may be called not run here.
        code = Code.NOT_READY if inbound.request.key is None else Code.HOME_UNREACHABLE
        inbound.caller.refuse(Refusal(code, "no policy yet", RETRY_AFTER))

    def caller_gone(self, request_id: str) -> None:
        """Nothing is open."""
