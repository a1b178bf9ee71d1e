"""Sends one attempt over a proven connection and judges its answer."""

import asyncio
from typing import Final

import aiohttp
from aiohttp import http

from wigeonspool.gateway import exchanges
from wigeonspool.gateway import headers
from wigeonspool.model import border
from wigeonspool.vm import asking
from wigeonspool.vm import channels
from wigeonspool.vm import work as works

# A longer answer is passed on as it arrives.
WHOLE_BYTES: Final = 1024 * 1024


class Sender:
    """Sends attempts to targets.

    Attributes:
        foreign: Answers that belonged to other requests.
    """

    def __init__(self, words: border.Border) -> None:
        """Prepares a sender.

        Args:
            words: Protocol of the targets.
        """
        self.foreign = 0
        self._words = words
        self._loop = asyncio.get_running_loop()

    async def send(
        self, work: works.Work, offer: asking.Offer
    ) -> works.AttemptResult:
        """Sends a request to the target of an offer.

        The caller of this function bounds its time; if it is cancelled, the
        connection is closed, which cancels the work at the target.
        """
        request = work.request
        fields = self._words.write_fields(
            request.headers,
            work.deadline - self._loop.time(),
            offer.row.entry.identity,
        )
        fields["Host"] = request.headers.get("Host", "")
        channel = offer.channel
        try:
            response = await exchanges.send_request(
                channel,
                request.method,
                request.raw_path,
                fields,
                work.body,
                lambda message: self._is_own(message, work.identity),
            )
            return await self._read(work, response, channel)
        except (aiohttp.ClientError, OSError) as error:
            channel.close()
            return works.AttemptResult(works.Ended.LOST, detail=repr(error))
        except BaseException:
            channel.close()
            raise

    def _is_own(self, message: http.RawResponseMessage, identity: str) -> bool:
        """Returns True unless an answer belongs to another request."""
        verdict = self._words.judge(message.code, message.headers, identity)
        if verdict is not border.Verdict.FOREIGN:
            return True
        self.foreign += 1
        return False

    async def _read(
        self,
        work: works.Work,
        response: exchanges.TargetResponse,
        channel: channels.Channel,
    ) -> works.AttemptResult:
        """Reads an answer, unless it is too long to hold.

        Raises:
            ClientError: If the answer is not whole.
        """
        verdict = self._words.judge(
            response.status, response.headers, work.identity
        )
        if not channels.note_keep_alive(channel, response.headers):
            channel.protocol.force_close()
        fields = headers.list_end_to_end(response.headers)
        length = response.content_length
        if length is not None and length > WHOLE_BYTES:
            if verdict is border.Verdict.ANSWERED:
                return works.AttemptResult(
                    works.Ended.ANSWERED,
                    response.status,
                    fields,
                    source=response,
                )
            response.close()
            return _conclude(verdict, response.status, fields, b"")
        body = await response.content.read()
        unframed = length is None and not is_chunked(response)
        if unframed and channel.was_reset:
            raise aiohttp.ClientPayloadError("an answer was reset")
        response.release()
        return _conclude(verdict, response.status, fields, body)


def is_chunked(response: exchanges.TargetResponse) -> bool:
    """Returns True if the end of a body is marked in the body itself."""
    return "chunked" in response.headers.get("Transfer-Encoding", "").lower()


def _conclude(
    verdict: border.Verdict,
    status: int,
    fields: list[tuple[str, str]],
    body: bytes,
) -> works.AttemptResult:
    """Returns the result of an answer that was read."""
    if verdict is border.Verdict.ANSWERED:
        return works.AttemptResult(works.Ended.ANSWERED, status, fields, body)
    if verdict is border.Verdict.FAILED:
        return works.AttemptResult(works.Ended.FAILED, status, fields, body)
    if verdict is border.Verdict.NOT_RUN:
        return works.AttemptResult(works.Ended.NOT_RUN, status)
    return works.AttemptResult(
        works.Ended.LOST, status, detail=f"status {status} without proof"
    )
