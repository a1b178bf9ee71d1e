"""Stand-ins for the store, the VM list and targets, for tests and the demo."""
