"""The status page of ``briarspur-steer``."""

from collections.abc import Callable
from typing import cast

from pydantic import BaseModel, ConfigDict
from twisted.web.resource import IResource, Resource
from twisted.web.server import Request, Site

__all__ = ["SteerStatus", "status_site"]


class SteerStatus(BaseModel):
    """What one ``briarspur-steer`` knows of itself.

    Attributes
    ----------
    headroom : dict
        By service and region, the requests per second that could be taken beyond the present ones.
    """

    model_config = ConfigDict(frozen=True)

    holder_id: str
    ready: bool
    holds_lease: bool
    term: int
    plan_term: int = 0
    plan_number: int = 0
    policy_version: int = 0
    entries_reporting: int = 0
    headroom: dict[str, dict[str, float]] = {}
    invariant_violations: dict[str, int] = {}


def status_site(status: Callable[[], SteerStatus]) -> Site:
    """Return a site with ``/healthz``, ``/readyz`` and ``/status``."""
    pages = {
        b"healthz": _Page(lambda: (200, "ok\n")),
        b"readyz": _Page(lambda: (200, "ok\n") if status().ready else (503, "no\n")),
        b"status": _Page(lambda: (200, status().model_dump_json() + "\n")),
    }
    root = Resource()
    for path, page in pages.items():
        root.putChild(path, cast(IResource, page))
    return Site(root)


class _Page(Resource):
    isLeaf = True  # noqa: N815

    def __init__(self, render: Callable[[], tuple[int, str]]) -> None:
        Resource.__init__(self)
        self._render = render

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Answer a GET."""
        status, text = self._render()
        request.setResponseCode(status)
        is_json = text.startswith("{")
        kind = b"application/json" if is_json else b"text/plain; charset=utf-8"
        request.setHeader(b"content-type", kind)
        return text.encode()
