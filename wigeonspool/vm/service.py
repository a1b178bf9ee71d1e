"""The process of an entry VM: builds its components and runs their loops.

To stop, the process first reports that it is not ready, so that callers move to
other VMs. Later it accepts no new connections and completes the requests in
flight.
"""

import asyncio
from collections.abc import Awaitable, Callable
import gc
import math
import os
import pathlib
import time
from typing import Final

from aiohttp import web

from wigeonspool import listen_sockets
from wigeonspool.core import cluster_state
from wigeonspool.core import connection_limits
from wigeonspool.core import drain_policy
from wigeonspool.core import feeders
from wigeonspool.core import suspect_reports
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
from wigeonspool.vm import durations
from wigeonspool.vm import evacuation_log
from wigeonspool.vm import feed_client
from wigeonspool.vm import feed_server
from wigeonspool.vm import http_port
from wigeonspool.vm import locality
from wigeonspool.vm import peer_liveness
from wigeonspool.vm import request_runner
from wigeonspool.vm import retry_log
from wigeonspool.vm import settings_file
from wigeonspool.vm import slack_share
from wigeonspool.vm import startup_gate
from wigeonspool.vm import store_follower
from wigeonspool.vm import structured_log
from wigeonspool.vm import suspect_writer
from wigeonspool.vm import target_probes
from wigeonspool.vm import task_service
from wigeonspool.vm import usage_limiter
from wigeonspool.vm import vm_registration

TICK_SECONDS: Final = 0.1
# A VM that starts waits this long for a feeder before it follows the store
# itself.
FEEDER_WAIT_SECONDS: Final = 0.6
FEED_POLL_SECONDS: Final = 0.1
# The file is polled since it may change without a signal.
SETTINGS_POLL_SECONDS: Final = 1.0
DRAIN_POLL_SECONDS: Final = 0.02
# Longest time to close the ports and connections after the VM has drained.
CLOSE_TIMEOUT_SECONDS: Final = 0.3


log = structured_log.get_logger("process")
state_log = structured_log.get_logger("knowledge")


class VmService(task_service.TaskService):
    """The process of one entry VM."""

    def __init__(
        self,
        settings: vm_settings.VmSettings,
        path: pathlib.Path | None = None,
        writer: structured_log.LineWriter | None = None,
        listeners: listen_sockets.ListenSockets | None = None,
    ) -> None:
        """Creates the service; ports are opened by `on_start`.

        Args:
            settings: Settings of the VM.
            path: Settings file, polled for changes, or None.
            writer: Writer of the log, whose dropped lines are a metric.
            listeners: Sockets that listen already.
        """
        super().__init__()
        self._settings = settings
        self._settings_file = settings_file.SettingsFile(path)
        self._writer = writer
        self._listeners = listeners or listen_sockets.ListenSockets()
        self._cluster = cluster_state.ClusterState(
            max(vm_registration.LEASE_SECONDS, settings.min_lease_seconds)
        )
        self._http_ports: list[http_port.HttpPort] = []
        self._metrics_page: Callable[[web.BaseRequest], web.Response] | None
        self._metrics_page = None
        self._durations = durations.Durations()
        self._close_by = math.inf
        self._utilization = 0.0
        self._cpu_seconds = time.process_time()
        self._next_keepalive_at = self._next_ping_at = float("-inf")
        self._own_entry = fleet.VmEntry(
            name=settings.vm,
            region=settings.region,
            zone=settings.zone,
            address=settings.callers,
            peer_address=f"{settings.ip}:{settings.first_free_port}",
            capacity=settings.capacity,
        )

    async def on_start(self) -> None:
        """Opens the ports and starts to follow the store.

        Raises:
            OSError: If a port cannot be opened.
        """
        self._build_components()
        # The first read of the store runs while the ports are opened.
        self.add_task(self._follow_store())
        host, _, port = self._own_entry.peer_address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._liveness_transport, _ = await loop.create_datagram_endpoint(
            lambda: self._liveness, local_addr=(host, int(port))
        )
        self._caller_port = await self._serve(
            self._settings.callers,
            self._caller_server,
        )
        for address, handler in (
            (self._settings.directory, self._address_service.resolve),
            (self._settings.readiness, self._address_service.serve_readiness),
        ):
            server = web.Server(handler, access_log=None)
            self._http_ports.append(await self._serve(address, server))
        for address, error in self._listeners.failures.items():
            log.warning("port was opened late", port=address, reason=str(error))
        self._listeners.close()
        await self._feeder.start(self._own_entry.peer_address)
        self.add_task(self._run_feed_client())
        self.add_task(self._clear_data_age())
        self.add_task(self._run_ticks())
        self.add_task(self._poll_settings())
        # Objects that exist now stay for the life of the process, so garbage
        # collections can skip them.
        gc.freeze()
        gc.enable()
        log.info(
            "started",
            callers=self._settings.callers,
            incarnation=os.urandom(4).hex(),
        )

    async def _serve(
        self, address: str, server: web.Server
    ) -> http_port.HttpPort:
        """Starts an HTTP server, on the listen socket if that is open already.

        Raises:
            OSError: If the port cannot be opened.
        """
        port = http_port.HttpPort(server)
        await port.open(address, self._listeners)
        return port

    def _build_components(self) -> None:
        """Builds the components, which need the running event loop."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        self._store = metadata_store.MetadataStore(settings.store)
        self._replica = store_follower.StoreReplica(
            self._cluster, store_keys.decode_change, self._handle_change
        )
        self._follower = store_follower.StoreFollower(
            self._store, self._replica, self._cluster
        )
        # The feeder reports the time of this VM's own last contact with the
        # store. Otherwise two VMs that lost the store and follow each other
        # would each report their state as fresh.
        self._feeder = feed_server.Feeder(
            self._replica, self._follower.find_synced_at
        )
        self._replica.on_known = self._feeder.record_change
        self._feed_client = feed_client.FeedClient(
            settings.vm, self._replica, self._list_feeders
        )
        self._registration = vm_registration.VmRegistration(
            self._store,
            self._own_entry,
            store_keys.encode_vm,
            self._is_active_feeder,
            self._follower.cancel_watch,
            settings.min_lease_seconds,
        )
        self._store.on_new_era = self._handle_newer_era
        self._replica.on_new_era = self._handle_era_begin
        self._channel_pool = channels.ChannelPool(loop)
        vm_locality = locality.VmLocality(
            settings.zone, settings.region, settings.regions
        )
        self._prober = target_probes.TargetProber(
            self._channel_pool,
            self._cluster,
            http_protocol.HTTP_PROTOCOL,
            vm_locality,
            settings.vm,
        )
        # Callers that connected while the libraries were loaded have waited
        # for half of that time on average.
        mean_wait_seconds = (time.monotonic() - self._listeners.opened_at) / 2
        self._pause_monitor = pauses.PauseMonitor(
            time.monotonic(), mean_wait_seconds
        )
        self._startup_gate = startup_gate.StartupGate(self._cluster)
        self._request_runner = request_runner.RequestRunner(
            settings, self._cluster, self._prober, http_protocol.HTTP_PROTOCOL
        )
        self._evacuation_log = evacuation_log.EvacuationLog(self._cluster)
        self._retry_log = retry_log.RetryLog(self._request_runner.retry_budget)
        self._slack_share = slack_share.SlackShare(
            self._request_runner.retry_budget,
            self._own_entry,
            settings.regions,
            self._cluster,
            lambda: self._registration.registered_until,
            self._prober.cold,
        )
        self._usage_limiter = usage_limiter.UsageLimiter(
            settings,
            self._own_entry,
            self._cluster,
            lambda: self._registration.registered_until,
            lambda: self._registration.lease,
            self._find_registration_revision,
        )
        self._caller_service = caller_service.CallerService(
            settings.vm,
            self._cluster,
            self._request_runner,
            http_protocol.HTTP_PROTOCOL,
            self._pause_monitor,
            self._startup_gate,
            self._usage_limiter,
        )
        self._caller_server = caller_server.CallerServer(
            self._caller_service, self._cluster
        )
        self._liveness = peer_liveness.LivenessProtocol(self._build_pong)
        self._address_service = address_service.AddressService(
            settings,
            self._own_entry,
            self._cluster,
            self._liveness,
            address_protocol.ADDRESS_PROTOCOL,
            self._startup_gate,
            self._render_metrics,
        )
        self._caller_service.on_answered = self._durations.observe
        self._suspect_writer = suspect_writer.SuspectWriter(
            suspect_reports.SuspectReports(
                self._cluster.suspects,
                self._prober.draw_fraction,
                lambda: len(self._cluster.vms),
                self._find_stored_report,
            ),
            self._write_reports,
            metadata_store.MAX_WRITTEN_KEYS,
        )
        self._request_runner.on_crash = self._suspect_writer.add_crash
        self._request_runner.on_suspect_answered = (
            self._suspect_writer.add_answer
        )

    def _render_metrics(self, request: web.BaseRequest) -> web.Response:
        """Returns the metrics page; the first call loads its modules."""
        # The metrics library is not needed before the first scrape.
        from wigeonspool.vm import metrics

        if self._metrics_page is None:
            self._metrics_page = metrics.VmMetrics(
                self._caller_service,
                self._request_runner,
                self._prober,
                self._channel_pool,
                self._cluster,
                self._feeder,
                self._store,
                self._replica,
                self._writer,
                self._caller_server.pipeline_use,
                self._durations,
                self._usage_limiter,
            ).render
        return self._metrics_page(request)

    def _find_stored_report(
        self, subject: suspect_reports.Subject
    ) -> suspect_reports.StoredReport | None:
        """Returns the report that the store holds for a subject, or None."""
        item = self._replica.items.get(store_keys.build_suspect_key(*subject))
        if item is None:
            return None
        decoded = store_keys.decode_report(item, self._registration.lease)
        return decoded[1] if decoded else None

    def _find_registration_revision(self, vm: fleet.VmEntry) -> int:
        """Returns the store revision of the entry of a VM, or 0."""
        item = self._replica.items.get(store_keys.encode_vm(vm)[0])
        return item.revision if item else 0

    async def _write_reports(
        self, reports: list[suspect_reports.SuspectReport]
    ) -> int:
        """Writes reports to the store; returns their revision.

        Raises:
            StoreError: If the store could not serve the call.
        """
        return await self._registration.write_keys(
            dict(store_keys.encode_report(report) for report in reports)
        )

    def _adopt_reports(self, lease: int) -> None:
        """Takes over the reports that an earlier process of this VM wrote.

        Args:
            lease: Lease of the earlier process.
        """
        for item in self._replica.items.values():
            decoded = store_keys.decode_report(item, lease)
            if decoded is not None and decoded[1].is_own:
                self._suspect_writer.adopt(decoded[0])

    def _build_pong(self) -> peer_liveness.Datagram:
        """Returns the reply of this VM to a ping."""
        return peer_liveness.Datagram(
            peer_liveness.PONG,
            0.0,
            busy=min(self._utilization, peer_liveness.MAX_UTILIZATION),
            leaving=self._address_service.draining,
            ready=self._address_service.is_ready(),
        )

    def _handle_newer_era(self, era: int) -> None:
        """Handles the first reply of the store with a newer era."""
        self._follower.require_era(era)
        self._registration.require_era(era)

    def _handle_era_begin(self, era: int) -> None:
        """Handles a newer era whose state is applied next."""
        self._registration.require_era(era)
        self._suspect_writer.begin_era()

    def _handle_change(self, item: key_values.KeyValue) -> None:
        """Handles a change of the cluster state.

        Logs it, records it for followers, opens the startup gate once there is
        a configuration, registers this VM again if its entry was removed, and
        corrects reports about suspects.
        """
        self._feeder.record_change(item)
        self._startup_gate.open_if_configured()
        state_log.info("changed", key=item.key, revision=item.revision)
        own_key, _ = store_keys.encode_vm(self._own_entry)
        if item.key == own_key and item.value is None:
            self._registration.register_again()
        report = store_keys.decode_report(item, self._registration.lease)
        if report is not None:
            subject, stored = report
            self._suspect_writer.handle_change(subject, stored.state)

    def _list_vms(self) -> list[fleet.VmEntry]:
        """Returns this VM and all others not known to be unavailable."""
        others = [
            vm
            for vm in self._cluster.vms.values()
            if vm.name != self._own_entry.name and self._liveness.is_live(vm)
        ]
        return [self._own_entry, *others]

    def _list_feeders(self) -> list[str]:
        """Returns the peer addresses of feeders to follow, the best first.

        The list is empty if this VM should follow the store itself. The feeder
        of a region follows other VMs only while its calls to the store fail.
        The seeds are added as long as this VM has no entry of any VM.
        """
        vms = self._list_vms()
        feeder_vms = feeders.list_feeders(self._own_entry, vms)
        if feeder_vms is None and self._follower.is_failing():
            feeder_vms = feeders.list_fallbacks(self._own_entry, vms)
        addresses = [vm.peer_address for vm in feeder_vms or ()]
        if not self._cluster.vms:
            addresses += self._list_seeds()
        return addresses

    def _list_seeds(self) -> list[str]:
        """Returns the peer addresses of the seeds, apart from this VM's own.

        All VMs of a deployment use the same port.
        """
        port = self._settings.first_free_port
        hosts = [seed.rpartition(":")[0] for seed in self._settings.seeds]
        return [f"{h}:{port}" for h in hosts if h != self._settings.ip]

    def _should_follow_store(self) -> bool:
        """Returns True if this VM must follow the store itself.

        That is the case if other VMs follow this one, if no feeder keeps it up
        to date, or if it is the feeder of its region.
        """
        if self._follower.is_behind():
            return True
        if self._feeder.subscribers or not self._feed_client.is_fresh():
            return True
        return self._is_region_feeder()

    def _is_active_feeder(self) -> bool:
        """Returns True if other VMs follow this one and the store replies."""
        return bool(self._feeder.subscribers) and (
            not self._follower.is_failing()
        )

    def _is_region_feeder(self) -> bool:
        """Returns True if this VM is the feeder of its region."""
        return feeders.list_feeders(self._own_entry, self._list_vms()) is None

    async def _follow_store(self) -> None:
        """Reads the store, registers this VM and follows the store if needed.

        The registration starts after the first read, since that shows whether
        an entry of an earlier incarnation exists.
        """
        loop = asyncio.get_running_loop()
        await self._follower.load_once()
        previous_entry = self._cluster.vms.get(self._own_entry.name)
        lease = self._cluster.leases.get(self._own_entry.name, 0)
        self._adopt_reports(lease)
        if previous_entry == self._own_entry:
            self._usage_limiter.set_first_lease(lease)
        self.add_task(
            self._registration.keep_registered(
                previous_entry, lease, self._replica.era
            )
        )
        self.add_task(self._repeat(self._suspect_writer.write_due))
        self.add_task(self._repeat(self._usage_limiter.run_step))
        feeder_wait_seconds = (
            0.0 if self._is_region_feeder() else FEEDER_WAIT_SECONDS
        )
        feeder_deadline = loop.time() + feeder_wait_seconds
        while (
            loop.time() < feeder_deadline and not self._feed_client.is_fresh()
        ):
            await asyncio.sleep(FEED_POLL_SECONDS)
        await self._repeat(self._poll_store)

    async def _poll_store(self) -> None:
        """Reads the next changes of the store if this VM must follow it."""
        if not self._should_follow_store():
            await asyncio.sleep(FEED_POLL_SECONDS)
            return
        was_failing = self._follower.is_failing()
        await self._follower.poll_changes(
            others_report=not self._is_region_feeder()
        )
        self._feeder.send_changes()
        if self._follower.is_failing() != was_failing:
            # Sent early, since followers that get stale data change the feeder.
            self._feeder.send_keepalive()

    async def _run_feed_client(self) -> None:
        """Follows feeders for as long as the process runs."""
        await self._repeat(self._feed_client.follow_feeder)

    async def _repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        """Runs a step again and again until the process stops.

        An unexpected error is logged and ends only one run of the step, so
        that input which no decoder foresees does not end the process.
        """
        while not self.should_stop:
            try:
                await step()
            except Exception:
                log.opt(exception=True).error(
                    "a task failed; it continues", task=step.__name__
                )
                await asyncio.sleep(TICK_SECONDS)

    async def _run_ticks(self) -> None:
        """Runs the periodic work for as long as the process runs."""
        await self._repeat(self._tick)

    async def _tick(self) -> None:
        """Runs the periodic work once.

        It detects pauses of this process, sends changes, keepalives and pings
        to other VMs, removes expired targets and VMs and idle connections,
        updates the share of the retry slack, logs evacuated zones and the use
        of the retry budget, and measures the utilization.
        """
        await asyncio.sleep(TICK_SECONDS)
        if self._pause_monitor.tick(time.monotonic()):
            await self._handle_pause()
        now = asyncio.get_running_loop().time()
        self._feeder.send_changes()
        self._slack_share.update()
        self._evacuation_log.write_changes()
        for identity in self._cluster.remove_expired_targets(now):
            state_log.info("target did not come back", target=identity)
        self._cluster.end_unconfirmed_evacuations(now)
        for name in self._cluster.remove_unconfirmed_vms(now):
            state_log.info("VM did not register again", vm=name)
        if now >= self._next_keepalive_at:
            self._next_keepalive_at = now + feed_server.KEEPALIVE_SECONDS
            self._feeder.send_keepalive()
        if now >= self._next_ping_at:
            self._next_ping_at = now + peer_liveness.PING_INTERVAL_SECONDS
            self._liveness.send_pings()
            self._limit_idle_connections()
            self._channel_pool.close_expired()
            self._retry_log.write_if_due()
            self._measure_utilization()

    def _limit_idle_connections(self) -> None:
        """Updates how many idle connections to one target are kept."""
        configuration = self._cluster.configuration
        services = configuration.services.values() if configuration else ()
        self._channel_pool.max_idle_per_target = (
            connection_limits.find_idle_limit(
                (service.max_connections for service in services),
                len(self._cluster.vms),
            )
        )

    def _measure_utilization(self) -> None:
        """Updates the fraction of its capacity that this VM uses.

        The fraction is that of the time since the last call, which is assumed
        to be one ping interval.
        """
        cpu_seconds = time.process_time()
        used_cpus = (
            cpu_seconds - self._cpu_seconds
        ) / peer_liveness.PING_INTERVAL_SECONDS
        self._cpu_seconds = cpu_seconds
        self._utilization = used_cpus / self._settings.capacity

    async def _handle_pause(self) -> None:
        """Resumes after this process did not run for a while.

        Pings that were missed meanwhile say nothing about other VMs.
        """
        log.warning("paused")
        self._liveness.reset_missed()
        await self._clear_data_age()

    async def _clear_data_age(self) -> None:
        """Treats data as just arrived again, after some event loop turns.

        Data that is read during these turns may have waited in a socket while
        this process did not run.
        """
        for _ in range(pauses.MAX_RESUME_TURNS):
            await asyncio.sleep(0)
        self._pause_monitor.clear_data_age()

    async def reload(self) -> None:
        """Reads the settings file again; an invalid file changes nothing.

        The retry limits, the address of the store, the seeds, the grace period
        and, for the utilization only, the capacity take effect in the running
        process.
        """
        if self._settings_file.path is None:
            return
        self._settings_file.mark_read()
        try:
            settings = settings_files.read_settings(self._settings_file.path)
        except errors.SettingsError as error:
            log.error("reload failed; settings stay", reason=str(error))
            return
        self._settings = settings
        self._request_runner.apply_limits(settings.bounds)
        self._usage_limiter.apply_bounds(settings.bounds)
        self._store.set_address(settings.store)
        log.info("reloaded", store=settings.store, seeds=settings.seeds)

    async def _poll_settings(self) -> None:
        """Reloads the settings file when it changes without a signal."""
        await self._repeat(self._check_settings)

    async def _check_settings(self) -> None:
        """Reloads the settings file if it has changed."""
        await asyncio.sleep(SETTINGS_POLL_SECONDS)
        if self._settings_file.is_changed():
            await self.reload()

    async def drain(self) -> None:
        """Moves callers to other VMs, then waits for requests in flight.

        No connection reads another request after that.
        """
        loop = asyncio.get_running_loop()
        requested_at = self.stop_requested_at
        schedule = drain_policy.build_schedule(
            loop.time() if requested_at is None else requested_at,
            self._settings.bounds.grace_seconds,
        )
        self._close_by = schedule.close_by
        self._address_service.draining = True
        self._feeder.close()
        self._usage_limiter.begin_drain()
        self._caller_service.begin_drain(schedule)
        log.info("stopping", in_flight=self._caller_service.in_flight)
        await asyncio.sleep(schedule.accept_until - loop.time())
        self._close_listener()
        while (
            loop.time() < schedule.finish_at
            and self._caller_server.has_busy_connections()
        ):
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self._caller_server.pre_shutdown()
        log.info("stopped", cut=self._caller_service.log_cut())

    def _close_listener(self) -> None:
        """Stops accepting new connections of callers."""
        self._caller_port.stop_accepting()

    async def on_stop(self) -> None:
        """Closes the ports and connections."""
        cleanups = [p.close() for p in (self._caller_port, *self._http_ports)]
        close_by = asyncio.get_running_loop().time() + CLOSE_TIMEOUT_SECONDS
        try:
            async with asyncio.timeout_at(min(close_by, self._close_by)):
                await asyncio.gather(*cleanups)
        except TimeoutError:
            log.warning("ports were closed with connections open")
        self._feeder.close()
        self._liveness_transport.close()
        self._usage_limiter.close()
        self._channel_pool.close()
        await self._store.close()
