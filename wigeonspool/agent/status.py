"""Collects the state of the whole fleet for a query of an operator.

No agent stores all VMs; the feeders of a region store those of their region.
"""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Final

import loguru

from wigeonspool import eventlog
from wigeonspool.agent import feeder_role
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import messages
from wigeonspool.model import status_messages
from wigeonspool.wire import peer_roles
from wigeonspool.wire import streams

QUERY_TIMEOUT_SECONDS: Final = 0.8


async def query_regions(
    feeders: Mapping[str, Sequence[entities.Vm]],
) -> list[tuple[messages.Heartbeat, ...]]:
    """Returns the VMs of each region, as one of its feeders reports them.

    A region that does not reply is shown as one VM of generation 0, so that an
    incomplete reply is not taken for the whole fleet.

    Args:
        feeders: Feeders by region.
    """
    queries = (query_region(name, vms) for name, vms in feeders.items())
    return list(await asyncio.gather(*queries))


async def query_region(
    region: str, feeders: Sequence[entities.Vm]
) -> tuple[messages.Heartbeat, ...]:
    """Returns the VMs of a region, from the first feeder that replies.

    If none replies within its fraction of the timeout, returns one VM of
    generation 0 whose name ends in "-unreachable".
    """
    for vm in feeders:
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS / len(feeders)):
                return await _query_feeder(vm.address)
        except (errors.WireError, OSError, TimeoutError) as error:
            loguru.logger.info(
                "query of feeder {} failed: {!r}", vm.name, error
            )
    name = f"{region}-unreachable"
    return (messages.Heartbeat(name, region, "", "", 0, 0, ()),)


async def _query_feeder(address: str) -> tuple[messages.Heartbeat, ...]:
    """Returns the VMs that send heartbeats to a feeder.

    Raises:
        WireError: If the feeder broke the protocol.
        OSError: If the stream failed.
    """
    stream = await streams.open_stream(address)
    try:
        stream.post(messages.Hello("status", peer_roles.OPERATOR, "", ""))
        stream.post(status_messages.RegionRequest())
        reply = await stream.receive()
    finally:
        stream.close()
    if not isinstance(reply, messages.Members):
        raise errors.FrameKindError(type(reply).__name__)
    return reply.heartbeats


def build_query_reply(
    message: messages.Message,
    log: eventlog.EventLog,
    feeder: feeder_role.Feeder,
) -> messages.Message | None:
    """Returns the reply to a query, or None if the message is not a query.

    Args:
        message: Message of an operator.
        log: Event log of this process.
        feeder: Feeder role of the agent.
    """
    if isinstance(message, status_messages.EventsRequest):
        return log.build_reply(message.wanted)
    if isinstance(message, status_messages.VmStatusRequest):
        return status_messages.VmStatusReply(
            (),
            measured_pools=tuple(sorted(feeder.leases.list_held())),
            store_calls=feeder.client.calls,
            spent=feeder.probe_scheduler.list_budget_use(),
        )
    return None
