"""Which availability zones have stopped responding to health checks.

If a zone fails as a whole, connections to its targets hang, and each target
would cost a request a timeout of its own. Targets of a zone in which several
did not respond lately, and none did since, are therefore probed after all
others.
"""

import dataclasses
from typing import Final

# A single target that does not respond says nothing about its zone.
MIN_SILENT_TARGETS: Final = 2
# Time after which a target that did not respond no longer counts. Targets of a
# silent zone are then probed again.
SILENCE_SECONDS: Final = 1.0


@dataclasses.dataclass(slots=True)
class _Silence:
    """Targets of a zone that did not respond since the last response.

    Attributes:
        targets: Their identities.
        until: Time until which they count, on the core's clock.
    """

    targets: set[str]
    until: float


class ZoneSilence:
    """Records in which zones targets respond to health checks."""

    __slots__ = ("_silences",)

    def __init__(self) -> None:
        """Creates the state of zones that all respond."""
        self._silences: dict[str, _Silence] = {}

    def record_timeout(self, now: float, zone: str, target: str) -> None:
        """Records that a target did not respond in time.

        Args:
            now: Time on the core's clock, in seconds.
            zone: Availability zone of the target.
            target: Identity of the target.
        """
        silence = self._silences.get(zone)
        if silence is None or silence.until <= now:
            silence = self._silences[zone] = _Silence(set(), 0.0)
        if len(silence.targets) < MIN_SILENT_TARGETS:
            silence.targets.add(target)
        silence.until = now + SILENCE_SECONDS

    def record_response(self, zone: str) -> None:
        """Records that a target of a zone responded."""
        self._silences.pop(zone, None)

    def list_silent(self, now: float) -> set[str]:
        """Returns the zones whose targets are probed after all others."""
        return {
            zone
            for zone, silence in self._silences.items()
            if now < silence.until
            and len(silence.targets) >= MIN_SILENT_TARGETS
        }
