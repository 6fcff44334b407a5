"""Render the HTML templates of this package.

Every value is escaped, except the SVG plots that this package makes.
"""

import time
from functools import cache
from typing import Any

from jinja2 import Environment, PackageLoader, StrictUndefined

__all__ = ["render"]


def render(template: str, **values: Any) -> str:
    """Render a template of this package with the given values."""
    return _environment().get_template(template).render(**values)


@cache
def _environment() -> Environment:
    environment = Environment(
        loader=PackageLoader("briarspur", "templates"),
        autoescape=True,
        undefined=StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    environment.filters["utc"] = _utc
    environment.filters["percent"] = _percent
    environment.filters["ms"] = _ms
    return environment


def _utc(seconds: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(seconds))


def _percent(share: float | None) -> str:
    return "unknown" if share is None else f"{share * 100:.1f} %"


def _ms(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds * 1000:.1f} ms"
