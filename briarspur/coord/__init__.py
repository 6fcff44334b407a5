"""Coordination modules that other programs can embed; independent of briarspur's daemons."""
