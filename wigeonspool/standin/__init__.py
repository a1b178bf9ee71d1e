"""Small stand-ins for the store, the VM list and targets, used by tests."""
