"""The data path: requests from callers, decided by the core."""
