"""Serves address lookups of callers, the readiness check and the metrics."""

from collections.abc import Callable
from typing import Final

from aiohttp import web

from wigeonspool.core import cluster_state
from wigeonspool.core import vm_assignment
from wigeonspool.model import fleet
from wigeonspool.model import protocols
from wigeonspool.model import vm_settings
from wigeonspool.vm import peer_liveness
from wigeonspool.vm import startup_gate

# Callers stop using an unavailable VM within this time. A shorter time would
# cause more additional lookups than it would avoid failures.
ADDRESS_TTL_SECONDS: Final = 1.0
METRICS_PATH: Final = "/metrics"
# VMs that are pinged in addition to those assigned to a zone.
MAX_SPARE_VMS_PINGED: Final = 2


class AddressService:
    """Assigns VMs to the callers of a zone, and reports readiness.

    Attributes:
        draining: True while this VM prepares to stop.
    """

    def __init__(
        self,
        settings: vm_settings.VmSettings,
        own_entry: fleet.VmEntry,
        cluster: cluster_state.ClusterState,
        liveness: peer_liveness.LivenessProtocol,
        protocol_adapter: protocols.AddressLookupAdapter,
        gate: startup_gate.StartupGate,
        render_metrics: Callable[[web.BaseRequest], web.Response] = (
            lambda _: web.Response(status=404)
        ),
    ) -> None:
        """Creates the service.

        Args:
            settings: Settings of the VM.
            own_entry: Entry of this VM.
            cluster: Cluster state, with the other VMs.
            liveness: Pings other VMs.
            protocol_adapter: Protocol of the lookups.
            gate: Delays lookups until the first configuration is loaded.
            render_metrics: Returns the metrics page.
        """
        self.draining = False
        self._settings = settings
        self._own_entry = own_entry
        self._cluster = cluster
        self._liveness = liveness
        self._protocol_adapter = protocol_adapter
        self._gate = gate
        self._render_metrics = render_metrics

    def is_ready(self) -> bool:
        """Returns True if this VM can serve callers."""
        return not self.draining and self._cluster.configuration is not None

    async def serve_readiness(self, request: web.BaseRequest) -> web.Response:
        """Serves the readiness check and the metrics page."""
        if request.path == METRICS_PATH:
            return self._render_metrics(request)
        if request.path != self._protocol_adapter.ready_path:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready() else 503)

    async def resolve(self, request: web.BaseRequest) -> web.Response:
        """Serves an address lookup.

        The status is 503 if no VM is live, and 404 if the path is another one.
        """
        if request.path != self._protocol_adapter.lookup_path:
            return web.Response(status=404)
        await self._gate.wait()
        address_request = self._protocol_adapter.read_address_request(
            request.url
        )
        zone = address_request.zone or self._own_entry.zone
        await self._confirm_vms(zone)
        assigned = self.assign_vms(zone)
        if not assigned:
            return web.Response(status=503)
        ttl_seconds = min(
            ADDRESS_TTL_SECONDS, self._settings.bounds.max_address_ttl_seconds
        )
        body = self._protocol_adapter.build_address_response(
            (vm.address for vm in assigned), ttl_seconds
        )
        return web.Response(body=body, content_type="application/json")

    def assign_vms(self, zone: str) -> list[fleet.VmEntry]:
        """Returns the VMs that the callers of a zone should use.

        Assigns more VMs if the first ones are busy. Starts to ping the assigned
        VMs and some spare ones.
        """
        ranked = self._rank_vms(zone)
        live = {vm.name for vm in ranked if self._is_live(vm)}
        confirmed = {vm.name for vm in ranked if self._is_confirmed(vm)}
        assigned = vm_assignment.assign_vms(
            zone, ranked, live, 0.0, confirmed=confirmed
        )
        utilizations = [self._find_utilization(vm) for vm in assigned]
        mean_utilization = (
            sum(utilizations) / len(utilizations) if utilizations else 0.0
        )
        assigned = vm_assignment.assign_vms(
            zone, ranked, live, mean_utilization, confirmed=confirmed
        )
        count = max(len(assigned), vm_assignment.MIN_ASSIGNED_VMS)
        monitored = vm_assignment.list_monitored(
            ranked, live, count + MAX_SPARE_VMS_PINGED
        )
        self._liveness.monitor(
            [vm for vm in monitored if vm.name != self._own_entry.name]
        )
        return assigned

    def _rank_vms(self, zone: str) -> list[fleet.VmEntry]:
        """Returns this VM and the others in the order for a zone's callers."""
        region = self._settings.regions.get(zone, "")
        vms = dict(self._cluster.vms)
        vms[self._own_entry.name] = self._own_entry
        return vm_assignment.rank_vms(zone, region, vms.values())

    async def _confirm_vms(self, zone: str) -> None:
        """Waits a moment for replies of the VMs that would be assigned.

        A VM that has just started does not know which others are up; they may
        all have lost power, with their registrations still in the store.
        """
        ranked = self._rank_vms(zone)
        live = [vm for vm in ranked if self._is_live(vm)]
        first = live[: vm_assignment.MIN_ASSIGNED_VMS]
        await self._liveness.confirm(
            [vm for vm in first if not self._is_confirmed(vm)]
        )

    def _is_confirmed(self, vm: fleet.VmEntry) -> bool:
        """Returns True if a VM is known to accept callers."""
        if vm.name == self._own_entry.name:
            return self.is_ready()
        return self._liveness.is_confirmed(vm)

    def _is_live(self, vm: fleet.VmEntry) -> bool:
        """Returns True unless a VM is known not to accept callers."""
        if vm.name == self._own_entry.name:
            return self.is_ready()
        return self._liveness.is_live(vm)

    def _find_utilization(self, vm: fleet.VmEntry) -> float:
        """Returns the fraction of its capacity that a VM uses.

        It is 0 for a VM that is not pinged, such as this one.
        """
        peer = self._liveness.peers.get(vm.peer_address)
        return 0.0 if peer is None else peer.utilization
