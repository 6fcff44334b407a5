"""First filter: which service and class a request belongs to, and where its caller is at home."""

from collections.abc import Callable

from expression import Error, Ok, Result

from briarspur.codes import Code
from briarspur.messages import Request
from briarspur.policy import Policy, Rule, Service
from briarspur.refusal import Refusal
from briarspur.work import Classified

__all__ = ["Classifier"]


class Classifier:
    """Classifies requests by the policy in force.

    Parameters
    ----------
    policy : Policy
        The policy in force.
    home_of : callable
        Gives the home region of a block of clients.
    """

    def __init__(self, policy: Policy, home_of: Callable[[int], str]) -> None:
        self._home_of = home_of
        services = policy.services_by_name.values()
        # The longest path first, so that a service below another's path is found.
        self._services = sorted(services, key=lambda service: -len(service.path))

    def classify(self, request: Request, now: float) -> Result[Classified, Refusal]:
        """Return the request with its class, or why it has none.

        The deadline is the caller's own if that is earlier than the rule's.
        """
        service = self._service_of(request.path)
        if service is None:
            return Error(Refusal(Code.UNKNOWN_SERVICE, request.path[:200]))
        rule = _rule_of(service, request)
        if rule is None:
            return Error(Refusal(Code.BAD_REQUEST, f"no class for {request.method}"))
        deadline = min(request.deadline, now + rule.deadline)
        home = self._home_of(request.block)
        return Ok(Classified(request, service, rule, home, deadline))

    def _service_of(self, path: str) -> Service | None:
        for service in self._services:
            if path.startswith(service.path):
                rest = path[len(service.path) : len(service.path) + 1]
                if rest in ("", "/", "?") or service.path.endswith("/"):
                    return service
        return None


def _rule_of(service: Service, request: Request) -> Rule | None:
    for rule in service.rules:
        if request.method in rule.methods and (request.path + "/").startswith(rule.path):
            return rule
    return None
