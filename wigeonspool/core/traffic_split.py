"""Divides the requests of a rule among services by their weights.

Each request goes to the service that is furthest behind its weight, so that the
fractions are exact to within one request over any sequence of requests.
"""

from collections.abc import Sequence

from wigeonspool.model import fleet


class WeightedRoundRobin:
    """Chooses the service of a rule that is furthest behind its weight."""

    __slots__ = ("_deficits", "_weighted_services")

    def __init__(
        self, weighted_services: Sequence[fleet.WeightedService], offset: float
    ) -> None:
        """Starts a rotation.

        Args:
            weighted_services: Services of the rule with their weights.
            offset: Where in the rotation to begin, 0 to 1, so that VMs with few
                requests do not all begin with the same service.
        """
        self._weighted_services = tuple(
            service for service in weighted_services if service.weight > 0
        )
        total = (
            sum(service.weight for service in self._weighted_services) or 1.0
        )
        self._deficits = [
            offset * service.weight / total
            for service in self._weighted_services
        ]

    def choose(self) -> str | None:
        """Returns the service of the next request, or None if there is none."""
        if not self._weighted_services:
            return None
        total = sum(service.weight for service in self._weighted_services)
        for index, service in enumerate(self._weighted_services):
            self._deficits[index] += service.weight / total
        furthest_behind = max(
            range(len(self._weighted_services)), key=self._deficits.__getitem__
        )
        self._deficits[furthest_behind] -= 1.0
        return self._weighted_services[furthest_behind].service
