"""The pages ``/healthz``, ``/readyz`` and ``/status`` of a daemon without other pages."""

from collections.abc import Callable
from typing import Protocol, cast

from twisted.web.resource import IResource, Resource
from twisted.web.server import Request, Site

__all__ = ["DaemonStatus", "status_site"]


class DaemonStatus(Protocol):
    """The status that a daemon reports."""

    @property
    def ready(self) -> bool:
        """Whether the daemon is able to do its work."""

    def model_dump_json(self) -> str:
        """Return the status page as JSON."""


def status_site(status: Callable[[], DaemonStatus]) -> Site:
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
        """Render the page for a GET request."""
        status, text = self._render()
        request.setResponseCode(status)
        is_json = text.startswith("{")
        content_type = b"application/json" if is_json else b"text/plain; charset=utf-8"
        request.setHeader(b"content-type", content_type)
        return text.encode()
