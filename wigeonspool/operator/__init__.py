"""What operators run: the control command and the time line."""
