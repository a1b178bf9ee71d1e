"""The process of an entry VM: it puts its parts together and stops in order."""

import asyncio
import gc
import pathlib
import secrets
import time
from typing import Final

from aiohttp import web
import mode

from wigeonspool import listen_sockets
from wigeonspool import process
from wigeonspool.core import cluster_state
from wigeonspool.core import feeders
from wigeonspool.gateway import pauses
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.model import key_values
from wigeonspool.model import vm_settings
from wigeonspool.platform import address_protocol
from wigeonspool.platform import http_protocol
from wigeonspool.platform import metadata_store
from wigeonspool.platform import settings as settings_files
from wigeonspool.platform import store_keys
from wigeonspool.vm import address_service
from wigeonspool.vm import caller_server
from wigeonspool.vm import caller_service
from wigeonspool.vm import channels
from wigeonspool.vm import feed_client
from wigeonspool.vm import feed_server
from wigeonspool.vm import locality
from wigeonspool.vm import metrics
from wigeonspool.vm import peer_liveness
from wigeonspool.vm import request_runner
from wigeonspool.vm import settings_file
from wigeonspool.vm import startup_gate
from wigeonspool.vm import store_follower
from wigeonspool.vm import structured_log
from wigeonspool.vm import target_probes
from wigeonspool.vm import vm_registration

TICK_SECONDS: Final = 0.1
# At its start a VM gives others this long before it follows the store itself.
FEEDER_WAIT_SECONDS: Final = 0.6
FEED_POLL_SECONDS: Final = 0.1
# The settings file may change without a signal.
SETTINGS_POLL_SECONDS: Final = 1.0
DRAIN_POLL_SECONDS: Final = 0.02
# Part of the grace during which callers may still open connections; what they
# were told before is forgotten by then.
ACCEPT_FRACTION: Final = 0.55
# Longest time to close the ports once all is answered.
CLOSE_TIMEOUT_SECONDS: Final = 0.3
# Part of the grace after which nothing may run any more.
FINISH_FRACTION: Final = 0.86


log = structured_log.get_logger("process")
state_log = structured_log.get_logger("knowledge")


class VmService(process.DrainingService):
    """The process of one entry VM."""

    def __init__(
        self,
        settings: vm_settings.VmSettings,
        path: pathlib.Path | None = None,
        writer: structured_log.LineWriter | None = None,
        listeners: listen_sockets.ListenSockets | None = None,
    ) -> None:
        """Prepares the process.

        Args:
            settings: Settings of the VM.
            path: File that they were read from, which may change.
            writer: Writes the log.
            listeners: Ports that are open already.
        """
        super().__init__()
        self._settings = settings
        self._settings_file = settings_file.SettingsFile(path)
        self._writer = writer
        self._listeners = listeners or listen_sockets.ListenSockets()
        self._cluster = cluster_state.ClusterState()
        self._runners: list[web.ServerRunner] = []
        self._utilization = 0.0
        self._cpu_seconds = time.process_time()
        self._own = fleet.VmEntry(
            name=settings.vm,
            region=settings.region,
            zone=settings.zone,
            address=settings.callers,
            peer_address=f"{settings.ip}:{settings.first_free_port}",
            capacity=settings.capacity,
        )

    async def on_start(self) -> None:
        """Opens the ports and begins to follow the store."""
        self._build_parts()
        # Its first read of the store goes on while the ports are taken over.
        self.add_future(self._follow_store())
        host, _, port = self._own.peer_address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._datagrams, _ = await loop.create_datagram_endpoint(
            lambda: self._liveness, local_addr=(host, int(port))
        )
        self._callers = await self._serve(
            self._settings.callers,
            caller_server.CallerServer(self._service, self._cluster),
        )
        for address, answer in (
            (self._settings.directory, self._addresses.resolve),
            (self._settings.readiness, self._addresses.serve_readiness),
        ):
            server = web.Server(answer, access_log=None)
            self._runners.append(await self._serve(address, server))
        for address, error in self._listeners.failures.items():
            log.warning("port was opened late", port=address, reason=str(error))
        self._listeners.close()
        await self._feeder.start(self._own.peer_address)
        self.add_future(self._run_feed_client())
        self.add_future(self._end_resume())
        # What is loaded stays for good, so no collection need look at it.
        gc.freeze()
        gc.enable()
        log.info(
            "started",
            callers=self._settings.callers,
            incarnation=secrets.token_hex(4),
        )

    async def _serve(
        self, address: str, server: web.Server
    ) -> web.ServerRunner:
        """Starts a server on its port, which may be open already."""
        opened = self._listeners.pop_socket(address)
        return await process.serve_http(address, server, opened)

    def _build_parts(self) -> None:
        """Builds the parts; they need the running event loop."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        self._store = metadata_store.MetadataStore(settings.store)
        self._replica = store_follower.StoreReplica(
            self._cluster, store_keys.decode_change, self._handle_change
        )
        self._follower = store_follower.StoreFollower(
            self._store, self._replica, self._cluster
        )
        # Only what the store itself confirmed is told on as fresh: two VMs
        # that lost it would otherwise take each other's word.
        self._feeder = feed_server.Feeder(
            self._replica, self._follower.find_synced_at
        )
        self._feed_client = feed_client.FeedClient(
            settings.vm, self._replica, self._list_feeders
        )
        self._registration = vm_registration.VmRegistration(
            self._store,
            self._own,
            store_keys.encode_vm,
            self._is_active_feeder,
            self._follower.cancel_watch,
            settings.min_lease_seconds,
        )
        self._pool = channels.ChannelPool(loop)
        vm_locality = locality.VmLocality(
            settings.zone, settings.region, settings.regions
        )
        self._prober = target_probes.TargetProber(
            self._pool, self._cluster, http_protocol.HTTP_PROTOCOL, vm_locality
        )
        # Those who connected while the libraries were loaded have waited for
        # half of that time, on average.
        waited = (time.monotonic() - self._listeners.opened_at) / 2
        self._pauses = pauses.PauseMonitor(time.monotonic(), waited)
        self._gate = startup_gate.StartupGate(self._cluster)
        self._runner = request_runner.RequestRunner(
            settings, self._cluster, self._prober, http_protocol.HTTP_PROTOCOL
        )
        self._service = caller_service.CallerService(
            settings.vm,
            self._cluster,
            self._runner,
            http_protocol.HTTP_PROTOCOL,
            self._pauses,
            self._gate,
        )
        self._liveness = peer_liveness.LivenessProtocol(self._build_pong)
        self._addresses = address_service.AddressService(
            settings,
            self._own,
            self._cluster,
            self._liveness,
            address_protocol.ADDRESS_PROTOCOL,
            self._gate,
            metrics.VmMetrics(
                self._service,
                self._runner,
                self._prober,
                self._pool,
                self._cluster,
                self._feeder,
                self._store,
                self._writer,
            ).publish,
        )
        self._service.on_answered = metrics.observe_duration
        self._runner.on_crash = self._report_crash

    async def _report_crash(self, fingerprint: int, target: str) -> None:
        """Tells all VMs that a target crashed while it ran a request."""
        key = store_keys.build_suspect_key(fingerprint, target)
        await self._registration.write_key(key)

    def _build_pong(self) -> peer_liveness.Datagram:
        """Returns what this VM answers to a ping."""
        return peer_liveness.Datagram(
            peer_liveness.PONG,
            0.0,
            busy=self._utilization,
            leaving=self._addresses.draining,
            ready=self._addresses.is_ready(),
        )

    def _handle_change(self, item: key_values.KeyValue) -> None:
        """Logs what changed of what this VM knows, and tells followers."""
        self._feeder.record_change(item)
        self._gate.open_if_configured()
        state_log.info("changed", key=item.key, revision=item.revision)
        own_key, _ = store_keys.encode_vm(self._own)
        if item.key == own_key and item.value is None:
            self._registration.register_again()

    def _list_vms(self) -> list[fleet.VmEntry]:
        """Returns this VM and all that are not known to be away."""
        others = [
            vm
            for vm in self._cluster.vms.values()
            if vm.name != self._own.name and self._liveness.is_live(vm)
        ]
        return [self._own, *others]

    def _list_feeders(self) -> list[str]:
        """Returns whom to follow, the best first; none to use the store."""
        vms = self._list_vms()
        listed = feeders.list_feeders(self._own, vms)
        if listed is None and self._follower.is_failing():
            listed = feeders.list_fallbacks(self._own, vms)
        found = [vm.peer_address for vm in listed or ()]
        if not self._cluster.vms:
            found += self._list_seeds()
        return found

    def _list_seeds(self) -> list[str]:
        """Returns VMs that may live, for one that knows of no other."""
        port = self._settings.first_free_port
        hosts = [seed.rpartition(":")[0] for seed in self._settings.seeds]
        return [f"{h}:{port}" for h in hosts if h != self._settings.ip]

    def _should_follow_store(self) -> bool:
        """Returns True if this VM must follow the store itself."""
        if self._feeder.subscribers or not self._feed_client.is_fresh():
            return True
        return self._is_region_feeder()

    def _is_active_feeder(self) -> bool:
        """Returns True while others rely on what this VM hears."""
        return bool(self._feeder.subscribers) and (
            not self._follower.is_failing()
        )

    def _is_region_feeder(self) -> bool:
        """Returns True if the other VMs of the region follow this one."""
        return feeders.list_feeders(self._own, self._list_vms()) is None

    async def _follow_store(self) -> None:
        """Follows the store, and registers this VM once it knows it."""
        loop = asyncio.get_running_loop()
        await self._follower.load_once()
        previous_entry = self._cluster.vms.get(self._own.name)
        lease = self._cluster.leases.get(self._own.name, 0)
        self.add_future(
            self._registration.keep_registered(previous_entry, lease)
        )
        feeder_wait_seconds = (
            0.0 if self._is_region_feeder() else FEEDER_WAIT_SECONDS
        )
        give_up_at = loop.time() + feeder_wait_seconds
        while loop.time() < give_up_at and not self._feed_client.is_fresh():
            await asyncio.sleep(FEED_POLL_SECONDS)
        while not self.should_stop:
            if self._should_follow_store():
                failing = self._follower.is_failing()
                await self._follower.step(
                    others_report=not self._is_region_feeder()
                )
                self._feeder.send_changes()
                if self._follower.is_failing() != failing:
                    self._feeder.send_keepalive()
            else:
                await asyncio.sleep(FEED_POLL_SECONDS)

    async def _run_feed_client(self) -> None:
        """Follows another VM while there is a better one than this."""
        while not self.should_stop:
            await self._feed_client.step()

    @mode.Service.task
    async def _run_ticks(self) -> None:
        """Runs what depends on time alone."""
        loop = asyncio.get_running_loop()
        ping_at = keepalive_at = loop.time()
        while not self.should_stop:
            await asyncio.sleep(TICK_SECONDS)
            if self._pauses.tick(time.monotonic()):
                await self._handle_pause()
            now = loop.time()
            self._feeder.send_changes()
            for identity in self._cluster.remove_expired_suspects(now):
                state_log.info("target did not come back", target=identity)
            if now >= keepalive_at:
                keepalive_at = now + feed_server.KEEPALIVE_SECONDS
                self._feeder.send_keepalive()
            if now >= ping_at:
                ping_at = now + peer_liveness.PING_INTERVAL_SECONDS
                self._liveness.send_pings()
                self._pool.close_expired()
                self._measure_utilization()

    def _measure_utilization(self) -> None:
        """Takes what part of its capacity this VM used since last time."""
        cpu_seconds = time.process_time()
        used_cpus = (
            cpu_seconds - self._cpu_seconds
        ) / peer_liveness.PING_INTERVAL_SECONDS
        self._cpu_seconds = cpu_seconds
        self._utilization = used_cpus / self._settings.capacity

    async def _handle_pause(self) -> None:
        """Takes up work after this process did not run for a while."""
        log.warning("paused")
        self._liveness.reset_missed()
        await self._end_resume()

    async def _end_resume(self) -> None:
        """Takes what is read after some turns to have arrived just then."""
        for _ in range(pauses.MAX_RESUME_TURNS):
            await asyncio.sleep(0)
        self._pauses.end_resume()

    async def reload(self) -> None:
        """Reads the settings file anew; what is invalid changes nothing."""
        if self._settings_file.path is None:
            return
        self._settings_file.mark_read()
        try:
            settings = settings_files.read_boot(self._settings_file.path)
        except errors.SettingsError as error:
            log.error("reload failed; settings stay", reason=str(error))
            return
        self._settings = settings
        self._runner.apply_bounds(settings.bounds, len(settings.regions))
        self._store.set_address(settings.store)
        log.info("reloaded", store=settings.store, seeds=settings.seeds)

    @mode.Service.task
    async def _poll_settings(self) -> None:
        """Takes settings that changed without a signal."""
        while not self.should_stop:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            if self._settings_file.is_changed():
                await self.reload()

    async def drain(self) -> None:
        """Moves callers elsewhere, then finishes what is in flight."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        grace = self._settings.bounds.grace_seconds
        refuse_at = started_at + grace * ACCEPT_FRACTION
        finish_at = started_at + grace * FINISH_FRACTION
        self._addresses.draining = True
        self._feeder.close()
        self._service.draining = True
        log.info("stopping", in_flight=self._service.in_flight)
        await asyncio.sleep(refuse_at - loop.time())
        await self._close_listener()
        while loop.time() < finish_at and self._service.in_flight:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        log.info("stopped", cut=self._service.in_flight)

    async def _close_listener(self) -> None:
        """Stops taking new connections."""
        for site in list(self._callers.sites):
            await site.stop()

    async def on_stop(self) -> None:
        """Closes the ports and connections."""
        closing = [r.cleanup() for r in (self._callers, *self._runners)]
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                await asyncio.gather(*closing)
        except TimeoutError:
            log.warning("ports were closed with connections open")
        self._feeder.close()
        self._datagrams.close()
        self._pool.close()
        await self._store.close()
