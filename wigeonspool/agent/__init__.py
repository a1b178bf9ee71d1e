"""The control process of an entry VM."""
