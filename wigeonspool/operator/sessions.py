"""Short-lived connections of commands to the store and the agents."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
from typing import Final

import aiohttp

from wigeonspool.model import errors
from wigeonspool.model import messages
from wigeonspool.store import change_log
from wigeonspool.store import store
from wigeonspool.wire import streams

REPLY_TIMEOUT_SECONDS: Final = 2.0


@contextlib.asynccontextmanager
async def open_log(
    url: str, prefix: str
) -> AsyncIterator[change_log.ChangeLog]:
    """Opens the log of changes for the duration of one command.

    Args:
        url: Base URL of the store.
        prefix: Key prefix of this system.
    """
    async with aiohttp.ClientSession() as session:
        client = store.StoreClient(session, url, REPLY_TIMEOUT_SECONDS)
        yield change_log.ChangeLog(client, prefix)


async def query_agent(
    address: str, request: messages.Message
) -> messages.Message:
    """Sends one request to an agent and returns the reply.

    Args:
        address: host:port of the agent.
        request: Message to send.

    Raises:
        AgentUnavailableError: If the address is invalid, the connection failed
            or no valid reply arrived in time.
    """
    try:
        async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
            stream = await streams.open_stream(address)
            try:
                hello = messages.Hello("ctl", "operator", "", "")
                await stream.send(hello)
                await stream.send(request)
                reply = await stream.receive()
            finally:
                stream.close()
    except (OSError, ValueError, errors.WireError) as error:
        raise errors.AgentUnavailableError(address, repr(error)) from error
    if reply is None:
        raise errors.AgentUnavailableError(address, "no answer")
    return reply
