"""Answers the address question, and whether this VM is ready."""

from collections.abc import Callable
from typing import Final

from aiohttp import web

from wigeonspool import process
from wigeonspool.core import cluster_state
from wigeonspool.core import vm_assignment
from wigeonspool.model import fleet
from wigeonspool.model import protocols
from wigeonspool.model import vm_settings
from wigeonspool.vm import peer_liveness
from wigeonspool.vm import startup_gate

# Callers learn within this time that a VM is gone; shorter answers cost more
# questions than they save failures.
ADDRESS_TTL_SECONDS: Final = 1.0
METRICS_PATH: Final = "/metrics"
# VMs of a zone that are asked whether they live, beyond those named.
MAX_SPARE_PINGED: Final = 2


class AddressService:
    """Knows which VMs callers should use.

    Attributes:
        draining: True once this VM prepares to stop.
    """

    def __init__(
        self,
        settings: vm_settings.VmSettings,
        own: fleet.VmEntry,
        cluster: cluster_state.ClusterState,
        liveness: peer_liveness.LivenessProtocol,
        protocol_adapter: protocols.AddressLookupAdapter,
        gate: startup_gate.StartupGate,
        publish: Callable[[], None] = lambda: None,
    ) -> None:
        """Prepares the book.

        Args:
            settings: Settings of the VM.
            own: Entry of this VM.
            cluster: What is known of other VMs.
            liveness: Knows which of them live.
            protocol_adapter: Protocol of the questions.
            gate: Holds questions until the configuration is first known.
            publish: Brings the metrics up to date.
        """
        self.draining = False
        self._settings = settings
        self._own = own
        self._cluster = cluster
        self._liveness = liveness
        self._protocol_adapter = protocol_adapter
        self._gate = gate
        self._publish = publish

    def is_ready(self) -> bool:
        """Returns True if this VM can serve callers."""
        return not self.draining and self._cluster.configuration is not None

    async def serve_readiness(self, request: web.BaseRequest) -> web.Response:
        """Answers whether this VM is ready, and shows its metrics."""
        if request.path == METRICS_PATH:
            return process.render_metrics(request, self._publish)
        if request.path != self._protocol_adapter.ready_path:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready() else 503)

    async def resolve(self, request: web.BaseRequest) -> web.Response:
        """Answers the address question."""
        if request.path != self._protocol_adapter.lookup_path:
            return web.Response(status=404)
        await self._gate.wait()
        address_request = self._protocol_adapter.read_address_request(
            request.url
        )
        assigned = self.assign_vms(address_request.zone or self._own.zone)
        if not assigned:
            return web.Response(status=503)
        ttl_seconds = min(
            ADDRESS_TTL_SECONDS, self._settings.bounds.longest_answer_seconds
        )
        body = self._protocol_adapter.build_address_response(
            (vm.address for vm in assigned), ttl_seconds
        )
        return web.Response(body=body, content_type="application/json")

    def assign_vms(self, zone: str) -> list[fleet.VmEntry]:
        """Returns the VMs that the callers of a zone should use."""
        region = self._settings.regions.get(zone, "")
        vms = dict(self._cluster.vms)
        vms[self._own.name] = self._own
        ranked = vm_assignment.rank_vms(zone, region, vms.values())
        live = {vm.name for vm in ranked if self._is_live(vm)}
        assigned = vm_assignment.assign_vms(zone, ranked, live, 0.0)
        utilizations = [self._find_utilization(vm) for vm in assigned]
        mean_utilization = (
            sum(utilizations) / len(utilizations) if utilizations else 0.0
        )
        assigned = vm_assignment.assign_vms(
            zone, ranked, live, mean_utilization
        )
        pinged = ranked[: len(assigned) + MAX_SPARE_PINGED]
        self._liveness.monitor(
            [vm for vm in pinged if vm.name != self._own.name]
        )
        return assigned

    def _is_live(self, vm: fleet.VmEntry) -> bool:
        """Returns True unless a VM is known to take no callers."""
        if vm.name == self._own.name:
            return self.is_ready()
        return self._liveness.is_live(vm)

    def _find_utilization(self, vm: fleet.VmEntry) -> float:
        """Returns the part of its capacity that a VM uses."""
        row = self._liveness.peers.get(vm.peer_address)
        return 0.0 if row is None else row.utilization
