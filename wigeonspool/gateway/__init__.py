"""The gateway: serves callers and sends requests as the core decides."""
