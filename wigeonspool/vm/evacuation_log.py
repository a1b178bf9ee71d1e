"""Logs which availability zones are evacuated."""

from wigeonspool.core import cluster_state
from wigeonspool.vm import structured_log

log = structured_log.get_logger("targets")


class EvacuationLog:
    """Logs each zone that is evacuated or used again."""

    def __init__(self, cluster: cluster_state.ClusterState) -> None:
        """Creates a log of a cluster without evacuated zones."""
        self._cluster = cluster
        self._logged: set[str] = set()

    def write_changes(self) -> None:
        """Writes a line for each change since the last call."""
        evacuated = self._cluster.evacuated
        if evacuated == self._logged:
            return
        for zone in sorted(evacuated - self._logged):
            log.info("zone evacuated", zone=zone, evacuated=sorted(evacuated))
        for zone in sorted(self._logged - evacuated):
            log.info("zone used again", zone=zone, evacuated=sorted(evacuated))
        self._logged = set(evacuated)
