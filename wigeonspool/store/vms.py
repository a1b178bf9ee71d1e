"""Client of the platform's VM list, which lags behind the state of the VMs.

The complete list of a large fleet is larger than a megabyte, and it is read
every second. A platform that sends an entity tag with the list sends the list
again only after it has changed.
"""

import hashlib
from typing import Annotated, Final, Literal

import aiohttp
import pydantic

from wigeonspool.model import entities
from wigeonspool.model import errors

DIGEST_BYTES: Final = 16
STATUS_NOT_MODIFIED: Final = 304


class VmDocument(pydantic.BaseModel):
    """One VM in the list."""

    name: str
    zone: str
    region: str
    address: Annotated[str, pydantic.Field(pattern=r":\d+$")]
    role: Literal["entry", "target"]
    state: entities.VmState


class VmListDocument(pydantic.BaseModel):
    """The complete list."""

    vms: list[VmDocument]


class VmListReader:
    """Reads the VM list, and parses it only after it has changed.

    Attributes:
        parsed_lists: Number of lists parsed so far.
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_seconds: float
    ) -> None:
        """Creates a reader that has not read the list yet.

        Args:
            session: HTTP client.
            url: URL of the list.
            timeout_seconds: Timeout of each read.
        """
        self._session = session
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        self._digest = b""
        self._etag = ""
        self._vms: list[entities.Vm] = []
        self.parsed_lists = 0

    async def read(self) -> list[entities.Vm]:
        """Returns the VMs in the list.

        Raises:
            VmListError: If the list could not be read or is invalid.
        """
        try:
            async with self._session.get(
                self._url,
                timeout=self._timeout,
                headers={"If-None-Match": self._etag} if self._etag else None,
            ) as response:
                if response.status == STATUS_NOT_MODIFIED and self._etag:
                    return self._vms
                body = await response.read()
                etag = response.headers.get("ETag", "")
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise errors.VmListError(repr(error)) from error
        digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()
        if digest != self._digest:
            self._vms = parse_vms(body)
            self._digest = digest
            self.parsed_lists += 1
        self._etag = etag
        return self._vms


async def read_vms(
    session: aiohttp.ClientSession, url: str, timeout_seconds: float
) -> list[entities.Vm]:
    """Reads the VM list once and returns its VMs.

    Args:
        session: HTTP client.
        url: URL of the list.
        timeout_seconds: Timeout of the read.

    Raises:
        VmListError: If the list could not be read or is invalid.
    """
    return await VmListReader(session, url, timeout_seconds).read()


def parse_vms(body: bytes) -> list[entities.Vm]:
    """Returns the VMs in the JSON text of a list.

    Raises:
        VmListError: If the list does not match the schema.
    """
    try:
        document = VmListDocument.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise errors.VmListError(error.errors()[0]["msg"]) from error
    return [entities.Vm(**vm.model_dump()) for vm in document.vms]
