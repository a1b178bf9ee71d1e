"""Serves non-idempotent requests at the gateway that is their home.

Only the home that an assignment token names ever sends a request to a target.
Any other gateway asks the home; if that is gone, the outcome is unknown.
"""

import asyncio
import time
from typing import Final

from aiohttp import web

from wigeonspool.core import once
from wigeonspool.gateway import egress
from wigeonspool.gateway import headers
from wigeonspool.gateway import incoming
from wigeonspool.gateway import runner as runners
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import outcomes
from wigeonspool.wire import tokens

ASSIGNMENT_ID_CHARS: Final = 12


class Home:
    """Holds the table of the requests that only this gateway may run."""

    def __init__(
        self,
        gateway: entities.Gateway,
        capacity: int,
        signer: tokens.TokenSigner,
        runner: runners.RequestRunner,
        client: egress.Egress,
    ) -> None:
        """Prepares an empty table.

        Args:
            gateway: This gateway.
            capacity: Most keys held at once.
            signer: Checks assignment tokens.
            runner: Runs requests on targets.
            client: Asks other gateways.
        """
        self._gateway = gateway
        self._signer = signer
        self._runner = runner
        self._client = client
        self._table = once.OnceTable(capacity)
        self._running: dict[tuple[str, str], asyncio.Task[runners.Ending]] = {}

    async def serve(
        self,
        request: web.BaseRequest,
        route: entities.Route,
        request_id: str,
        deadline: float,
    ) -> runners.Ending:
        """Serves a request that may run at most once.

        Args:
            request: Request of a caller, or passed on by another gateway.
            route: Route that it matched.
            request_id: Identity on the time line.
            deadline: Time by which its caller wants the answer, loop clock.
        """
        body, held = await incoming.read_body(request, deadline)
        if not held:
            return outcomes.refuse(outcomes.Reason.BODY_TOO_LARGE)
        assignment = self._check_assignment(request)
        if isinstance(assignment, outcomes.Failure):
            return assignment
        outgoing = incoming.build_outgoing(request, request_id, body, deadline)
        if assignment.home != self._gateway.name:
            return await self._ask_home(request, assignment, outgoing)
        if assignment.incarnation != self._gateway.incarnation:
            return outcomes.doubt(outcomes.Reason.HOME_GONE)
        return await self._serve_here(
            request, route, request_id, assignment, outgoing
        )

    def _check_assignment(
        self, request: web.BaseRequest
    ) -> tokens.Assignment | outcomes.Failure:
        """Returns the assignment that a request proves.

        A key that was never valid cannot have run. Once a key has the form of
        a valid one, an earlier send of it may have run.
        """
        key = request.headers.get(headers.KEY)
        if key is None:
            return outcomes.refuse(outcomes.Reason.KEY_MISSING)
        prefix, _, rest = key.partition(".")
        if len(prefix) != ASSIGNMENT_ID_CHARS or not rest:
            return outcomes.refuse(outcomes.Reason.KEY_MALFORMED)
        token = request.headers.get(headers.ASSIGNMENT)
        if token is None:
            return outcomes.doubt(outcomes.Reason.TOKEN_MISSING)
        try:
            assignment = self._signer.verify(token)
        except errors.TokenError:
            return outcomes.doubt(outcomes.Reason.TOKEN_INVALID)
        caller = request.headers.get(headers.CALLER, "")
        if assignment.caller != caller or assignment.assignment_id != prefix:
            return outcomes.doubt(outcomes.Reason.TOKEN_INVALID)
        return assignment

    async def _ask_home(
        self,
        request: web.BaseRequest,
        assignment: tokens.Assignment,
        outgoing: egress.Outgoing,
    ) -> runners.Ending:
        """Passes a request to the gateway that may run it."""
        if headers.FORWARDED in request.headers:
            return outcomes.doubt(outcomes.Reason.HOME_GONE)
        outgoing.fields[headers.FORWARDED] = self._gateway.name
        token = request.headers[headers.ASSIGNMENT]
        outgoing.fields[headers.ASSIGNMENT] = token
        try:
            attempt = await self._client.attempt(
                assignment.address,
                outgoing,
                may_retry_connection=True,
                whole_bytes=runners.ONCE_ANSWER_BYTES,
            )
        except TimeoutError:
            return outcomes.doubt(outcomes.Reason.HOME_UNREACHABLE)
        if attempt.answer is None:
            return outcomes.doubt(outcomes.Reason.HOME_UNREACHABLE)
        return runners.read_forwarded(attempt.answer)

    async def _serve_here(
        self,
        request: web.BaseRequest,
        route: entities.Route,
        request_id: str,
        assignment: tokens.Assignment,
        outgoing: egress.Outgoing,
    ) -> runners.Ending:
        """Runs a request, or tells what is known of it."""
        index = (assignment.caller, request.headers[headers.KEY])
        digest = incoming.digest_request(outgoing)
        claim = self._table.claim(
            time.time(), *index, digest, assignment.expires_at
        )
        if isinstance(claim, outcomes.Failure):
            return claim
        if claim is None:
            self._start(route, request_id, index, outgoing)
        elif claim.answer is not None:
            return claim.answer
        running = self._running.get(index)
        if running is None:
            return outcomes.doubt(outcomes.Reason.CONNECTION_LOST)
        try:
            # A caller that leaves does not cut work that must not repeat.
            async with asyncio.timeout_at(outgoing.deadline):
                return await asyncio.shield(running)
        except TimeoutError:
            return outcomes.doubt(outcomes.Reason.IN_PROGRESS)

    def _start(
        self,
        route: entities.Route,
        request_id: str,
        index: tuple[str, str],
        outgoing: egress.Outgoing,
    ) -> None:
        """Starts to run a claimed request."""
        task = asyncio.get_running_loop().create_task(
            self._run(route, request_id, index, outgoing)
        )
        self._running[index] = task
        task.add_done_callback(lambda _: self._running.pop(index, None))

    async def _run(
        self,
        route: entities.Route,
        request_id: str,
        index: tuple[str, str],
        outgoing: egress.Outgoing,
    ) -> runners.Ending:
        """Runs a claimed request and records how it ended."""
        row = self._runner.create_row(
            route, outgoing.deadline, idempotent=False
        )
        guard = runners.OnceGuard(
            before_send=lambda: self._table.mark_sent(*index),
            after_not_run=lambda: self._table.allow_retry(*index),
        )
        ending: runners.Ending
        ending = outcomes.doubt(outcomes.Reason.CONNECTION_LOST)
        try:
            ending = await self._runner.run_whole(
                row, outgoing, request_id, guard
            )
        finally:
            if isinstance(ending, once.Answer):
                self._table.mark_answered(*index, ending)
            elif ending.outcome is outcomes.Outcome.NOT_RUN:
                self._table.mark_not_run(*index)
            else:
                self._table.mark_unknown(*index)
        return ending
