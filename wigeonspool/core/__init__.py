"""The decisions: pure functions and tables without sockets or clocks."""
