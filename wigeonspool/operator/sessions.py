"""Short conversations of operators' commands with the store and the agents."""

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

ANSWER_SECONDS: Final = 2.0


@contextlib.asynccontextmanager
async def open_log(
    url: str, prefix: str
) -> AsyncIterator[change_log.ChangeLog]:
    """Opens the log of changes for the time of one command.

    Args:
        url: Base URL of the store.
        prefix: Key prefix of this system.
    """
    async with aiohttp.ClientSession() as session:
        client = store.StoreClient(session, url, ANSWER_SECONDS)
        yield change_log.ChangeLog(client, prefix)


async def ask_agent(
    address: str, question: messages.Message
) -> messages.Message:
    """Returns an agent's answer to one question.

    Args:
        address: host:port of the agent.
        question: What to ask.

    Raises:
        AgentUnavailableError: If no answer came in time.
    """
    try:
        async with asyncio.timeout(ANSWER_SECONDS):
            stream = await streams.open_stream(address)
            try:
                hello = messages.Hello("ctl", "operator", "", "")
                await stream.send(hello)
                await stream.send(question)
                answer = await stream.receive()
            finally:
                stream.close()
    except (OSError, ValueError, errors.WireError) as error:
        raise errors.AgentUnavailableError(address, repr(error)) from error
    if answer is None:
        raise errors.AgentUnavailableError(address, "no answer")
    return answer
