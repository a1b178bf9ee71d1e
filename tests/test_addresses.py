import dataclasses

from wigeonspool.gateway import address_lookup
from wigeonspool.gateway import fleet_view
from wigeonspool.model import entities
from wigeonspool.model import options
from wigeonspool.wire import tokens

ZONE = "zone-0"


def build_tables(generation: int) -> entities.Tables:
    targets = (entities.Target("t0:1", ZONE), entities.Target("t1:1", ZONE))
    pools = {name: entities.Pool(name, 4, targets) for name in ("a", "b", "c")}
    return entities.Tables(generation, {}, pools)


def build_gateway(name: str, **demand: float) -> entities.Gateway:
    return entities.Gateway(name, "1", f"{name}:1", ZONE, name, demand=demand)


class TestDividePools:
    def build(
        self,
    ) -> tuple[address_lookup.AddressLookup, fleet_view.FleetView]:
        view = fleet_view.FleetView()
        view.update_tables(build_tables(1))
        view.gateways = {name: build_gateway(name) for name in ("g0", "g1")}
        signer = tokens.TokenSigner(["key-for-tests"])
        settings = options.GatewayOptions()
        return address_lookup.AddressLookup(
            ZONE, settings, view, signer, 0.5
        ), view

    def test_all_pools_are_divided_at_first(self) -> None:
        book, _ = self.build()
        assert book.compute_shares("g0").keys() == {"a", "b", "c"}

    def test_idle_pools_cost_nothing_afterwards(self) -> None:
        book, _ = self.build()
        book.compute_shares("g0")
        assert book.compute_shares("g0") == {}

    def test_demand_divides_its_pool_until_it_has_ended(self) -> None:
        book, view = self.build()
        book.compute_shares("g0")
        busy = build_gateway("g1", b=50.0)
        view.gateways = {**view.gateways, "g1": busy}
        assert book.compute_shares("g0").keys() == {"b"}
        view.gateways = {**view.gateways, "g1": build_gateway("g1")}
        assert book.compute_shares("g0").keys() == {"b"}
        assert book.compute_shares("g0") == {}

    def test_new_tables_divide_all(self) -> None:
        book, view = self.build()
        book.compute_shares("g0")
        view.update_tables(build_tables(2))
        assert book.compute_shares("g0").keys() == {"a", "b", "c"}

    def test_gateway_that_drains_divides_all(self) -> None:
        book, view = self.build()
        before = book.compute_shares("g0")
        leaving = dataclasses.replace(view.gateways["g1"], draining=True)
        view.gateways = {**view.gateways, "g1": leaving}
        after = book.compute_shares("g0")
        assert after.keys() == {"a", "b", "c"}
        assert sum(sum(s.values()) for s in after.values()) > sum(
            sum(s.values()) for s in before.values()
        )
