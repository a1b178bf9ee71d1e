"""Client of the platform's VM list, which lags behind the VMs."""

from typing import Annotated, Literal

import aiohttp
import pydantic

from wigeonspool.model import entities
from wigeonspool.model import errors


class VmDocument(pydantic.BaseModel):
    """One VM as the list shows it."""

    name: str
    zone: str
    region: str
    address: Annotated[str, pydantic.Field(pattern=r":\d+$")]
    role: Literal["entry", "target"]
    state: entities.VmState


class VmListDocument(pydantic.BaseModel):
    """The whole list."""

    vms: list[VmDocument]


async def read_vms(
    session: aiohttp.ClientSession, url: str, timeout_seconds: float
) -> list[entities.Vm]:
    """Returns the VMs that the platform knows.

    Args:
        session: HTTP client to use.
        url: URL of the list.
        timeout_seconds: Longest time that the call may take.

    Raises:
        VmListError: If the list could not be read.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_seconds)
    try:
        async with session.get(url, timeout=timeout) as response:
            body = await response.read()
        document = VmListDocument.model_validate_json(body)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise errors.VmListError(repr(error)) from error
    except pydantic.ValidationError as error:
        raise errors.VmListError(error.errors()[0]["msg"]) from error
    return [entities.Vm(**vm.model_dump()) for vm in document.vms]
