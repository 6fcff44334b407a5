"""Refuses requests while an entry has no policy."""

from briarspur.attempts import InboundRequest
from briarspur.codes import Code
from briarspur.refusal import Refusal

__all__ = ["NotReady"]

RETRY_AFTER_S = 1.0


class NotReady:
    """Request handler that refuses all requests until there is a policy."""

    def handle(self, inbound: InboundRequest) -> None:
        """Refuse a request immediately."""
        # Another entry may have run an earlier copy of a request with a key, so only a request
        # without a key may be reported as not run.
        code = Code.NOT_READY if inbound.request.key is None else Code.HOME_UNREACHABLE
        inbound.caller.refuse(Refusal(code, "no policy yet", RETRY_AFTER_S))

    def caller_gone(self, request_id: str) -> None:
        """Do nothing, as no request is pending."""
