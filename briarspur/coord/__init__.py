"""Coordination parts that other programs can embed; nothing here knows briarspur's daemons."""
