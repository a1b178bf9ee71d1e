"""Load generators, experiments, measurements and the check of histories."""
