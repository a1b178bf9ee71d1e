"""Answers the question which gateways a caller should use for a pool."""

import json
import time

from aiohttp import web

from wigeonspool.core import sharing
from wigeonspool.gateway import answers
from wigeonspool.gateway import headers
from wigeonspool.gateway import view as views
from wigeonspool.model import entities
from wigeonspool.model import options
from wigeonspool.model import outcomes
from wigeonspool.wire import tokens


class AddressBook:
    """Names gateways to callers and assigns homes to their keys."""

    def __init__(
        self,
        zone: str,
        settings: options.GatewayOptions,
        view: views.FleetView,
        signer: tokens.TokenSigner,
        heartbeat_seconds: float,
    ) -> None:
        """Prepares the book.

        Args:
            zone: Availability zone of callers that name none.
            settings: Lifetimes of answers and tokens.
            view: What is known of the fleet.
            signer: Signs assignment tokens.
            heartbeat_seconds: Time between two digests of demand.
        """
        self._zone = zone
        self._settings = settings
        self._view = view
        self._signer = signer
        self._answered = 0
        self._shape: object = None
        self._active: set[str] = set()
        self._crews = sharing.Crews(
            settings.requests_per_second,
            settings.gateways_per_pool,
            heartbeat_seconds / settings.answer_seconds,
        )

    def divide_pools(self, name: str) -> dict[str, dict[str, int]]:
        """Divides the pools whose share may have moved.

        That is every pool after a change of tables or gateways, and else the
        pools that have demand now or had some at the last call.

        Args:
            name: Name of this gateway.

        Returns:
            By pool, the slots that this gateway may use at each target.
        """
        gateways = [
            gateway
            for gateway in self._view.gateways.values()
            if gateway.zone == self._zone
        ]
        pools = self._view.tables.pools
        active = {pool for gateway in gateways for pool in gateway.demand}
        shape = (
            self._view.tables.generation,
            frozenset((g.name, g.draining) for g in gateways),
        )
        wanted = active | self._active
        if shape != self._shape:
            wanted = set(pools)
        self._shape = shape
        self._active = active
        return {
            pool: self._crews.divide(pools[pool], self._zone, gateways, name)
            for pool in wanted & pools.keys()
        }

    def answer(self, request: web.BaseRequest) -> web.Response:
        """Answers one address question."""
        pool = request.query.get("pool", "")
        zone = request.query.get("zone", self._zone)
        if pool not in self._view.tables.pools:
            failure = outcomes.refuse(outcomes.Reason.NOT_CONFIGURED)
            return answers.build_problem(failure, "")
        chosen = self._crews.find(pool, zone, self._view.gateways.values())
        if not chosen:
            failure = outcomes.refuse(outcomes.Reason.DRAINING)
            return answers.build_problem(failure, "")
        self._answered += 1
        home = chosen[self._answered % len(chosen)]
        caller = request.headers.get(headers.CALLER, "")
        assignment = self._assign(caller, home)
        document = {
            "pool": pool,
            "addresses": [{"address": g.address, "weight": 1} for g in chosen],
            "assignment": {
                "id": assignment.assignment_id,
                "home": home.address,
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

    def _assign(self, caller: str, home: entities.Gateway) -> tokens.Assignment:
        """Returns a new assignment of a caller's keys to a home."""
        return tokens.Assignment(
            tokens.create_assignment_id(),
            caller,
            home.name,
            home.incarnation,
            home.address,
            time.time() + self._settings.token_seconds,
        )
