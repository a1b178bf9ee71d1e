"""The agent: the control process of an entry VM (a VM with gateways)."""
