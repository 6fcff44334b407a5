"""Tests against the documented protocols of external systems."""
