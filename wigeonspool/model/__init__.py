"""Data types that all packages share, such as entities and messages."""
