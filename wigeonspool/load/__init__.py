"""Load, experiments and the checking of histories."""
