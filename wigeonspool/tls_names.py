"""Names of the module `ssl` that libraries use when they are imported.

An entry VM uses no TLS, but the event loop and the HTTP library name these
types in checks and `except` clauses. Here they are types that nothing has, so
that the module, which takes 12 ms of processor time to load, is not loaded.
"""

from typing import Any, Final


class SSLContext:
    """The type of a TLS context, of which there is none."""


class SSLSocket:
    """The type of a TLS socket, of which there is none."""


class SSLError(OSError):
    """An error of TLS, which never occurs."""


class SSLZeroReturnError(SSLError):
    """The end of a TLS connection."""


class SSLWantReadError(SSLError):
    """More data is needed to go on."""


class SSLSyscallError(SSLError):
    """A system call of TLS failed."""


class SSLCertVerificationError(SSLError, ValueError):
    """A certificate is not valid."""


NAMES: Final[dict[str, Any]] = {
    "CertificateError": SSLCertVerificationError,
    "SSLCertVerificationError": SSLCertVerificationError,
    "SSLContext": SSLContext,
    "SSLError": SSLError,
    "SSLSocket": SSLSocket,
    "SSLSyscallError": SSLSyscallError,
    "SSLWantReadError": SSLWantReadError,
    "SSLZeroReturnError": SSLZeroReturnError,
    "SSL_ERROR_SYSCALL": 5,
    "SSL_ERROR_WANT_READ": 2,
    "SSL_ERROR_WANT_WRITE": 3,
}
