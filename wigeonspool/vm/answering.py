"""Answers the address question, and whether this VM is ready."""

from collections.abc import Callable
from typing import Final

from aiohttp import web

from wigeonspool import process
from wigeonspool.core import knowledge
from wigeonspool.core import naming
from wigeonspool.model import boot
from wigeonspool.model import border
from wigeonspool.model import fleet
from wigeonspool.vm import pinging
from wigeonspool.vm import starting

# Callers learn within this time that a VM is gone; shorter answers cost more
# questions than they save failures.
KEEP_SECONDS: Final = 1.0
METRICS_PATH: Final = "/metrics"
# VMs of a zone that are asked whether they live, beyond those named.
SPARE_ASKED: Final = 2


class AddressBook:
    """Knows which VMs callers should use.

    Attributes:
        leaving: True once this VM prepares to stop.
    """

    def __init__(
        self,
        settings: boot.Boot,
        own: fleet.VmEntry,
        known: knowledge.Knowledge,
        life: pinging.LifeProtocol,
        words: border.Addressing,
        gate: starting.StartGate,
        publish: Callable[[], None] = lambda: None,
    ) -> None:
        """Prepares the book.

        Args:
            settings: Settings of the VM.
            own: Entry of this VM.
            known: What is known of other VMs.
            life: Knows which of them live.
            words: Protocol of the questions.
            gate: Holds questions until the configuration is first known.
            publish: Brings the metrics up to date.
        """
        self.leaving = False
        self._settings = settings
        self._own = own
        self._known = known
        self._life = life
        self._words = words
        self._gate = gate
        self._publish = publish

    def is_ready(self) -> bool:
        """Returns True if this VM can serve callers."""
        return not self.leaving and self._known.configuration is not None

    async def show_ready(self, request: web.BaseRequest) -> web.Response:
        """Answers whether this VM is ready, and shows its metrics."""
        if request.path == METRICS_PATH:
            return process.render_metrics(request, self._publish)
        if request.path != self._words.ready_path:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready() else 503)

    async def resolve(self, request: web.BaseRequest) -> web.Response:
        """Answers the address question."""
        if request.path != self._words.resolve_path:
            return web.Response(status=404)
        await self._gate.wait()
        question = self._words.read_question(request.url)
        chosen = self.choose(question.zone or self._own.zone)
        if not chosen:
            return web.Response(status=503)
        keep = min(KEEP_SECONDS, self._settings.bounds.longest_answer_seconds)
        body = self._words.write_addresses((vm.address for vm in chosen), keep)
        return web.Response(body=body, content_type="application/json")

    def choose(self, zone: str) -> list[fleet.VmEntry]:
        """Returns the VMs that the callers of a zone should use."""
        region = self._settings.regions.get(zone, "")
        vms = dict(self._known.vms)
        vms[self._own.name] = self._own
        ranked = naming.rank_vms(zone, region, vms.values())
        live = {vm.name for vm in ranked if self._is_live(vm)}
        named = naming.choose_vms(zone, ranked, live, 0.0)
        busy = [self._find_busy(vm) for vm in named]
        mean = sum(busy) / len(busy) if busy else 0.0
        named = naming.choose_vms(zone, ranked, live, mean)
        asked = ranked[: len(named) + SPARE_ASKED]
        self._life.want([vm for vm in asked if vm.name != self._own.name])
        return named

    def _is_live(self, vm: fleet.VmEntry) -> bool:
        """Returns True unless a VM is known to take no callers."""
        if vm.name == self._own.name:
            return self.is_ready()
        return self._life.is_live(vm)

    def _find_busy(self, vm: fleet.VmEntry) -> float:
        """Returns the part of its capacity that a VM uses."""
        row = self._life.rows.get(vm.peer_address)
        return 0.0 if row is None else row.busy
