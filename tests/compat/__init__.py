"""Tests against the documented protocols of outside systems."""
