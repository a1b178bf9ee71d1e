"""Classifies availability zones by their distance from this VM."""

from collections.abc import Mapping
import enum


class Distance(enum.IntEnum):
    """Distance of a zone; each step adds latency and a higher cost per byte.

    ZONE: the same zone.
    REGION: another zone of the same region.
    REMOTE: another region.
    """

    ZONE = 0
    REGION = 1
    REMOTE = 2


class VmLocality:
    """Zone and region of a VM.

    Attributes:
        zone: Its availability zone.
        region: Region of that zone.
    """

    __slots__ = ("_regions", "region", "zone")

    def __init__(
        self, zone: str, region: str, regions: Mapping[str, str]
    ) -> None:
        """Creates the locality of a VM.

        Args:
            zone: Its availability zone.
            region: Region of that zone.
            regions: Region by availability zone.
        """
        self.zone = zone
        self.region = region
        self._regions = regions

    def find_region(self, zone: str) -> str:
        """Returns the region of a zone, or "" if the zone is unknown."""
        return self._regions.get(zone, "")

    def find_distance(self, zone: str) -> Distance:
        """Returns the distance of a zone; an unknown zone counts as remote."""
        if zone == self.zone:
            return Distance.ZONE
        if self._regions.get(zone) == self.region:
            return Distance.REGION
        return Distance.REMOTE
