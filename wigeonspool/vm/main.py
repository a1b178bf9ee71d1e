"""Command line of the process of an entry VM.

The ports are opened before the libraries are loaded, so that callers that
connect during a start wait a moment instead of being refused.
"""

import gc
import sys

from wigeonspool import early_signals
from wigeonspool import listen_sockets
from wigeonspool.platform import ports


def main() -> None:
    """Entry point of the binary."""
    signals = early_signals.EarlySignals()
    # Objects created by loading modules are never garbage, so collections
    # during the start are useless; `VmService.on_start` enables them again.
    gc.disable()
    run(listen_sockets.ListenSockets(ports.list_ports()), signals)


def run(
    listeners: listen_sockets.ListenSockets,
    signals: early_signals.EarlySignals | None = None,
) -> None:
    """Loads the libraries and runs the process on open ports.

    Exits if the settings are invalid.

    Args:
        listeners: Sockets that listen already.
        signals: Signals that arrived before, if they were recorded.
    """
    # Imported here, after the ports are open, because the imports take longer
    # than all other steps of a start.
    from wigeonspool import deferred_packages

    deferred_packages.defer()
    from wigeonspool import service_runner
    from wigeonspool.model import errors
    from wigeonspool.platform import settings
    from wigeonspool.vm import service
    from wigeonspool.vm import structured_log

    try:
        path = settings.find_path()
        vm_settings = settings.read_settings(path)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(service_runner.EXIT_INVALID_SETTINGS)
    writer = structured_log.configure(vm_settings.vm)
    service_runner.run_service(
        service.VmService(vm_settings, path, writer, listeners), signals
    )


if __name__ == "__main__":
    main()
