"""Scenarios of failures, with all processes of a deployment on loopback."""
