"""Stand-ins and checks of the cases 6 to 10, of the standard library only."""
