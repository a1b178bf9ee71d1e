"""What a gateway knows of the fleet and of the tables in force."""

from wigeonspool.core import routing
from wigeonspool.model import entities


class FleetView:
    """The latest tables and members that the agent gave.

    Attributes:
        tables: Tables in force.
        routes: Their routes, arranged for lookup.
        gateways: Live gateways of the fleet, by name.
        leaving: Addresses of targets that the VM list calls leaving.
    """

    __slots__ = ("gateways", "leaving", "routes", "tables")

    def __init__(self) -> None:
        self.tables = entities.EMPTY_TABLES
        self.routes = routing.RouteIndex([])
        self.gateways: dict[str, entities.Gateway] = {}
        self.leaving: frozenset[str] = frozenset()

    def take_tables(self, tables: entities.Tables) -> bool:
        """Takes tables in force; returns False if they are not newer."""
        if tables.generation <= self.tables.generation:
            return False
        self.tables = tables
        self.routes = routing.RouteIndex(tables.routes.values())
        return True
