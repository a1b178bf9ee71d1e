"""Serves the address lookup, which names a caller's gateways for a pool."""

import json
import time

from aiohttp import web

from wigeonspool.core import slot_division
from wigeonspool.gateway import fleet_view
from wigeonspool.gateway import headers
from wigeonspool.gateway import responses
from wigeonspool.model import entities
from wigeonspool.model import options
from wigeonspool.model import outcomes
from wigeonspool.wire import tokens


class AddressLookup:
    """Selects gateways for callers and assigns owners to callers' keys."""

    def __init__(
        self,
        zone: str,
        settings: options.GatewayOptions,
        view: fleet_view.FleetView,
        signer: tokens.TokenSigner,
        heartbeat_seconds: float,
    ) -> None:
        """Creates a lookup that has not divided the slots of any pool.

        Args:
            zone: Availability zone of this gateway, and of callers that name
                no zone.
            settings: Lifetimes of lookup responses and tokens, gateways per
                pool and the capacity of a gateway.
            view: Active tables and live gateways.
            signer: Signs assignment tokens.
            heartbeat_seconds: Time between two updates of the gateways'
                demand.
        """
        self._zone = zone
        self._settings = settings
        self._view = view
        self._signer = signer
        self._lookup_count = 0
        self._last_topology: object = None
        self._active_pools: set[str] = set()
        self._gateway_shares = slot_division.GatewayAssignments(
            settings.requests_per_second,
            settings.gateways_per_pool,
            heartbeat_seconds / settings.answer_seconds,
        )

    def compute_shares(self, gateway_name: str) -> dict[str, dict[str, int]]:
        """Divides the slots of the pools whose shares may have changed.

        These are all pools after a change of the tables or gateways, and
        otherwise the pools that have demand now or had some at the last call.

        Args:
            gateway_name: Name of this gateway.

        Returns:
            By pool, the slots that this gateway may use at each target.
        """
        gateways = [
            gateway
            for gateway in self._view.gateways.values()
            if gateway.zone == self._zone
        ]
        pools = self._view.tables.pools
        active_pools = {pool for gateway in gateways for pool in gateway.demand}
        topology = (
            self._view.tables.generation,
            frozenset((g.name, g.draining) for g in gateways),
        )
        pools_to_divide = active_pools | self._active_pools
        if topology != self._last_topology:
            pools_to_divide = set(pools)
        self._last_topology = topology
        self._active_pools = active_pools
        return {
            pool: self._gateway_shares.divide(
                pools[pool], self._zone, gateways, gateway_name
            )
            for pool in pools_to_divide & pools.keys()
        }

    def handle(self, request: web.BaseRequest) -> web.Response:
        """Returns the response to one address lookup."""
        pool = request.query.get("pool", "")
        zone = request.query.get("zone", self._zone)
        if pool not in self._view.tables.pools:
            failure = outcomes.build_refusal(outcomes.Reason.NOT_CONFIGURED)
            return responses.build_problem(failure, "")
        selected = self._gateway_shares.find(
            pool, zone, self._view.gateways.values()
        )
        if not selected:
            failure = outcomes.build_refusal(outcomes.Reason.DRAINING)
            return responses.build_problem(failure, "")
        self._lookup_count += 1
        owner = selected[self._lookup_count % len(selected)]
        caller = request.headers.get(headers.CALLER, "")
        assignment = self._create_assignment(caller, owner)
        document = {
            "pool": pool,
            "addresses": [
                {"address": g.address, "weight": 1} for g in selected
            ],
            "assignment": {
                "id": assignment.assignment_id,
                "home": owner.address,
                "token": self._signer.sign(assignment),
                "remaining_ms": int(self._settings.token_seconds * 1000),
            },
            "remaining_ms": int(self._settings.answer_seconds * 1000),
            "generation": self._view.tables.generation,
        }
        return web.Response(
            body=json.dumps(document).encode(),
            content_type="application/json",
        )

    def _create_assignment(
        self, caller: str, owner: entities.Gateway
    ) -> tokens.Assignment:
        """Returns a new assignment of a caller's keys to an owner."""
        return tokens.Assignment(
            tokens.create_assignment_id(),
            caller,
            owner.name,
            owner.incarnation,
            owner.address,
            time.time() + self._settings.token_seconds,
        )
