"""Stories of failures over real processes on loopback."""
