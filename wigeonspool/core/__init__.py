"""Pure decision functions and tables, without sockets or clocks."""
