"""Clients of the platform's configuration store and of its VM list."""
