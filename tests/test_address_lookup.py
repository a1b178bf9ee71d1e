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

    def test_first_call_divides_all_pools(self) -> None:
        lookup, _ = self.build()
        assert lookup.compute_shares("g0").keys() == {"a", "b", "c"}

    def test_idle_pools_are_not_divided_again(self) -> None:
        lookup, _ = self.build()
        lookup.compute_shares("g0")
        assert lookup.compute_shares("g0") == {}

    def test_pool_is_divided_while_it_has_demand_and_once_after(self) -> None:
        lookup, view = self.build()
        lookup.compute_shares("g0")
        busy = build_gateway("g1", b=50.0)
        view.gateways = {**view.gateways, "g1": busy}
        assert lookup.compute_shares("g0").keys() == {"b"}
        view.gateways = {**view.gateways, "g1": build_gateway("g1")}
        assert lookup.compute_shares("g0").keys() == {"b"}
        assert lookup.compute_shares("g0") == {}

    def test_new_tables_divide_all_pools(self) -> None:
        lookup, view = self.build()
        lookup.compute_shares("g0")
        view.update_tables(build_tables(2))
        assert lookup.compute_shares("g0").keys() == {"a", "b", "c"}

    def test_draining_gateway_divides_all_pools(self) -> None:
        lookup, view = self.build()
        before = lookup.compute_shares("g0")
        draining = dataclasses.replace(view.gateways["g1"], draining=True)
        view.gateways = {**view.gateways, "g1": draining}
        after = lookup.compute_shares("g0")
        assert after.keys() == {"a", "b", "c"}
        assert sum(sum(s.values()) for s in after.values()) > sum(
            sum(s.values()) for s in before.values()
        )
