"""The gateway: routes HTTP requests by host and path to the backend servers of their service."""
