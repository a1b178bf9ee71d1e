"""The active tables and the live gateways, as the agent reported them."""

from collections.abc import Callable

from wigeonspool.core import routing
from wigeonspool.model import entities


class FleetView:
    """The latest tables and members that the agent reported.

    Attributes:
        tables: Active tables.
        routes: Index of the routes of `tables`.
        draining_targets: Addresses of targets that are draining by the VM list.
    """

    __slots__ = (
        "_gateways",
        "_is_current",
        "_own_name",
        "draining_targets",
        "routes",
        "tables",
    )

    def __init__(self) -> None:
        self.tables = entities.EMPTY_TABLES
        self.routes = routing.RouteIndex([])
        self._gateways: dict[str, entities.Gateway] = {}
        self._own_name = ""
        self._is_current: Callable[[], bool] = lambda: True
        self.draining_targets: frozenset[str] = frozenset()

    @property
    def gateways(self) -> dict[str, entities.Gateway]:
        """Live gateways of the region, by name.

        After a pause of the process, other gateways may have stopped. Only
        this gateway is returned until the cluster state is refreshed.
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
        """Sets the check that runs before `gateways` is read.

        Args:
            own_name: Name of this gateway.
            is_current: Returns False after a pause of this process until the
                cluster state is refreshed.
        """
        self._own_name = own_name
        self._is_current = is_current

    def update_tables(self, tables: entities.Tables) -> bool:
        """Activates tables; returns False if they are not newer."""
        if tables.generation <= self.tables.generation:
            return False
        self.tables = tables
        self.routes = routing.RouteIndex(tables.routes.values())
        return True
