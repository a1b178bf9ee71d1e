"""Small stand-ins for the store, the VM list and the targets."""
