"""What all parts share: entities, outcomes, errors, events and messages."""
