"""Adapter between the gateway and the platform: names, formats and calls, and no decisions."""
