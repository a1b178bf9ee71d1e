"""How far zones lie from this VM."""

from collections.abc import Mapping
import enum


class Distance(enum.IntEnum):
    """How far a zone is; each step costs time and paid bytes."""

    ZONE = 0
    REGION = 1
    REMOTE = 2


class VmLocality:
    """Where a VM is.

    Attributes:
        zone: Its availability zone.
        region: Region of that zone.
    """

    __slots__ = ("_regions", "region", "zone")

    def __init__(
        self, zone: str, region: str, regions: Mapping[str, str]
    ) -> None:
        """Takes the place of a VM.

        Args:
            zone: Its availability zone.
            region: Region of that zone.
            regions: Region by availability zone.
        """
        self.zone = zone
        self.region = region
        self._regions = regions

    def find_distance(self, zone: str) -> Distance:
        """Returns how far a zone is."""
        if zone == self.zone:
            return Distance.ZONE
        if self._regions.get(zone) == self.region:
            return Distance.REGION
        return Distance.REMOTE
