"""Adapter between the product and the users' platform.

Only this package knows the platform's protocol names: keys, header fields,
paths and status codes. Each module decodes one kind of platform data into the
product's types, or encodes one kind for the platform. The modules only
translate; the decisions are made elsewhere.
"""
