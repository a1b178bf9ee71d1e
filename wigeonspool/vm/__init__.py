"""The process of an entry VM: the load balancer on the users' platform."""
