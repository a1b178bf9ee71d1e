"""Command line of the process of an entry VM.

Its ports are opened first and its libraries loaded then, so that callers who
connect at a start wait a moment instead of being refused.
"""

import gc
import sys

from wigeonspool import listen_sockets
from wigeonspool.platform import ports


def main() -> None:
    """Entry point of the binary."""
    # Nothing that is loaded now is ever garbage; see `VmService.on_start`.
    gc.disable()
    run(listen_sockets.ListenSockets(ports.list_ports()))


def run(listeners: listen_sockets.ListenSockets) -> None:
    """Loads the process and runs it on ports that are open.

    Args:
        listeners: The ports.
    """
    # Loaded only now: this takes longer than all else that a start does.
    from wigeonspool import process
    from wigeonspool.model import errors
    from wigeonspool.platform import settings
    from wigeonspool.vm import service
    from wigeonspool.vm import structured_log

    try:
        path = settings.find_path()
        chosen = settings.read_boot(path)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(process.EXIT_INVALID_SETTINGS)
    writer = structured_log.configure(chosen.vm)
    process.run_service(service.VmService(chosen, path, writer, listeners))


if __name__ == "__main__":
    main()
