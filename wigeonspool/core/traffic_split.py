"""Divides the requests of a rule among its shares by their weights.

Each request goes to the share that is furthest behind its weight, so that the
fractions are exact to within one request over any sequence of requests.
"""

from collections.abc import Sequence

from wigeonspool.model import fleet


class WeightedRoundRobin:
    """Chooses the share of a rule that is furthest behind its weight."""

    __slots__ = ("_deficits", "_shares")

    def __init__(
        self, shares: Sequence[fleet.WeightedService], offset: float
    ) -> None:
        """Starts a rotation.

        Args:
            shares: Shares of the rule.
            offset: Where in the rotation to begin, 0 to 1, so that VMs with few
                requests do not all begin with the same share.
        """
        self._shares = tuple(s for s in shares if s.weight > 0)
        total = sum(share.weight for share in self._shares) or 1.0
        self._deficits = [
            offset * share.weight / total for share in self._shares
        ]

    def choose(self) -> str | None:
        """Returns the service of the next request, or None without shares."""
        if not self._shares:
            return None
        total = sum(share.weight for share in self._shares)
        for index, share in enumerate(self._shares):
            self._deficits[index] += share.weight / total
        furthest_behind = max(
            range(len(self._shares)), key=self._deficits.__getitem__
        )
        self._deficits[furthest_behind] -= 1.0
        return self._shares[furthest_behind].service
