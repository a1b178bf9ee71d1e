"""Adapter to the users' platform: the only folder that knows its names.

Each module decodes one thing that the platform says into types of the
product, or encodes one that it wants to hear. Nothing is decided here.
"""
