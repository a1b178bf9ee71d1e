"""Encoding and transport of messages, assignment tokens, and clocks."""
