"""First filter: determine the service, the rule and the home region of a request."""

from collections.abc import Callable

from expression import Error, Ok, Result

from briarspur.codes import Code
from briarspur.messages import Request
from briarspur.policy import Policy, Rule, Service
from briarspur.refusal import Refusal
from briarspur.work import Classified

__all__ = ["Classifier"]


class Classifier:
    """Classifies requests according to the current policy.

    Parameters
    ----------
    policy : Policy
        The current policy.
    home_of : callable
        Returns the home region of a block of clients.
    """

    def __init__(self, policy: Policy, home_of: Callable[[int], str]) -> None:
        self._home_of = home_of
        services = policy.services_by_name.values()
        # Longest path first, so that a service nested below another's path takes precedence.
        self._services = sorted(services, key=lambda service: -len(service.path))

    def classify(self, request: Request, now: float) -> Result[Classified, Refusal]:
        """Return the classified request, or the refusal if no rule matches it.

        The deadline is the earlier one of the caller's and the rule's.
        """
        service = self._find_service(request.path)
        if service is None:
            return Error(Refusal(Code.UNKNOWN_SERVICE, request.path[:200]))
        rule = _find_rule(service, request)
        if rule is None:
            return Error(Refusal(Code.BAD_REQUEST, f"no class for {request.method}"))
        deadline = min(request.deadline, now + rule.deadline)
        home = self._home_of(request.block)
        return Ok(Classified(request, service, rule, home, deadline))

    def _find_service(self, path: str) -> Service | None:
        for service in self._services:
            if path.startswith(service.path):
                next_char = path[len(service.path) : len(service.path) + 1]
                if next_char in ("", "/", "?") or service.path.endswith("/"):
                    return service
        return None


def _find_rule(service: Service, request: Request) -> Rule | None:
    for rule in service.rules:
        if request.method in rule.methods and (request.path + "/").startswith(rule.path):
            return rule
    return None
