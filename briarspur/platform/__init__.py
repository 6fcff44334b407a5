"""How the gateway meets the platform: names, formats and calls; nothing here decides anything."""
