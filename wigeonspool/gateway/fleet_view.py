"""What a gateway knows of the fleet and of the tables in force."""

from collections.abc import Callable

from wigeonspool.core import routing
from wigeonspool.model import entities


class FleetView:
    """The latest tables and members that the agent gave.

    Attributes:
        tables: Tables in force.
        routes: Their routes, arranged for lookup.
        leaving: Addresses of targets that the VM list calls leaving.
    """

    __slots__ = (
        "_gateways",
        "_is_current",
        "_own_name",
        "leaving",
        "routes",
        "tables",
    )

    def __init__(self) -> None:
        self.tables = entities.EMPTY_TABLES
        self.routes = routing.RouteIndex([])
        self._gateways: dict[str, entities.Gateway] = {}
        self._own_name = ""
        self._is_current: Callable[[], bool] = lambda: True
        self.leaving: frozenset[str] = frozenset()

    @property
    def gateways(self) -> dict[str, entities.Gateway]:
        """Live gateways of the region, by name.

        After a pause of the process, and until its knowledge is renewed, only
        the gateway itself is known to be live.
        """
        if self._is_current():
            return self._gateways
        own = self._gateways.get(self._own_name)
        return {} if own is None else {self._own_name: own}

    @gateways.setter
    def gateways(self, gateways: dict[str, entities.Gateway]) -> None:
        self._gateways = gateways

    def set_freshness_check(
        self, own_name: str, is_current: Callable[[], bool]
    ) -> None:
        """Asks whether knowledge is current before it is used.

        Args:
            own_name: Name of this gateway.
            is_current: Returns False after a pause of this process.
        """
        self._own_name = own_name
        self._is_current = is_current

    def update_tables(self, tables: entities.Tables) -> bool:
        """Takes tables in force; returns False if they are not newer."""
        if tables.generation <= self.tables.generation:
            return False
        self.tables = tables
        self.routes = routing.RouteIndex(tables.routes.values())
        return True
