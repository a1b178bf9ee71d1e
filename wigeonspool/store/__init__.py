"""Clients of the platform: the configuration store and the VM list."""
