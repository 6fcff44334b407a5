"""Global traffic steering for services whose callers wait for a response."""

__all__ = ["__version__"]

__version__ = "0.1.0"
