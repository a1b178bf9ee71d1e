"""Stand-ins that implement the platform's protocol, for tests and the demo."""
