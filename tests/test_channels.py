"""Tests the connections to targets."""

import asyncio

import pytest

from tests import test_store_keys
from wigeonspool.model import errors
from wigeonspool.vm import channels


class TestInvalidAddresses:
    # Guards against lost requests: OverflowError, UnicodeError and ValueError
    # passed the `except OSError` of attempts and probes.
    @pytest.mark.parametrize("address", test_store_keys.INVALID_ADDRESSES)
    async def test_connection_to_an_invalid_address_fails(
        self, address: str
    ) -> None:
        pool = channels.ChannelPool(asyncio.get_running_loop())
        with pytest.raises(OSError) as caught:
            await pool.open(address)
        assert isinstance(caught.value, errors.AddressInvalidError)
        assert pool.connect_attempts == pool.connect_failures == 1
