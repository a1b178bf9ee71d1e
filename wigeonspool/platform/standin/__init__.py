"""Stand-ins that speak the platform's protocol, for tests and the demo."""
