"""A soak: VM processes under faults and planned work, with kept connections."""
