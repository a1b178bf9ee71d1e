"""Commands for operators: the control command and the timeline."""
