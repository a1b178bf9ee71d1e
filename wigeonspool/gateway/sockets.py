"""Sockets of connections to targets, gateways and the store."""

import asyncio
import fcntl
import socket
import struct
import termios
from typing import Any, Final

# The kernel closes a connection whose peer acknowledges nothing for this long.
TCP_USER_TIMEOUT_MS: Final = 1000
TCP_KEEPALIVE_IDLE_SECONDS: Final = 1
TCP_KEEPALIVE_INTERVAL_SECONDS: Final = 1
# The form in which the kernel returns a number of bytes.
C_INT: Final = struct.Struct("i")


def open_socket(address: Any) -> socket.socket:
    """Returns a socket that fails if its peer stops acknowledging data."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return sock


def count_unread_bytes(transport: asyncio.Transport | None) -> int:
    """Returns how many bytes the kernel holds that were not read yet."""
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None:
        return 0
    count = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(C_INT.size))
    return int(C_INT.unpack(count)[0])
