"""Small stand-ins for the platform, backend servers and callers."""
