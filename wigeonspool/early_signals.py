"""Records signals that arrive before a process can handle them.

The default action of these signals would end a process that still loads its
libraries. This module therefore imports nothing that takes time to load.
"""

import signal
import time
from typing import Final

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL: Final = signal.SIGHUP


class EarlySignals:
    """Signals that arrived since the start of the process.

    Attributes:
        stop_requested_at: When the first signal to stop arrived, on the
            monotonic clock in seconds, or None.
        reload_requested: True if a signal to reload the settings arrived.
    """

    def __init__(self) -> None:
        """Installs handlers; those of the event loop replace them later."""
        self.stop_requested_at: float | None = None
        self.reload_requested = False
        for stop_signal in STOP_SIGNALS:
            signal.signal(stop_signal, self._record_stop)
        signal.signal(RELOAD_SIGNAL, self._record_reload)

    def _record_stop(self, *_: object) -> None:
        """Records the time of the first signal to stop."""
        if self.stop_requested_at is None:
            self.stop_requested_at = time.monotonic()

    def _record_reload(self, *_: object) -> None:
        """Records a signal to reload the settings."""
        self.reload_requested = True
