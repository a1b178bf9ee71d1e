"""The process of an entry VM: it puts its parts together and stops in order."""

import asyncio
import gc
import pathlib
import secrets
import time
from typing import Final

from aiohttp import web
import mode

from wigeonspool import listening
from wigeonspool import process
from wigeonspool.core import feeders
from wigeonspool.core import knowledge
from wigeonspool.gateway import pauses
from wigeonspool.model import boot
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.model import sources
from wigeonspool.platform import border
from wigeonspool.platform import changes
from wigeonspool.platform import directory
from wigeonspool.platform import metadata
from wigeonspool.platform import settings as settings_files
from wigeonspool.vm import answering
from wigeonspool.vm import asking
from wigeonspool.vm import callers
from wigeonspool.vm import channels
from wigeonspool.vm import feeding
from wigeonspool.vm import following
from wigeonspool.vm import journal
from wigeonspool.vm import metrics
from wigeonspool.vm import pinging
from wigeonspool.vm import reach
from wigeonspool.vm import registering
from wigeonspool.vm import running
from wigeonspool.vm import serving
from wigeonspool.vm import starting
from wigeonspool.vm import upstream
from wigeonspool.vm import watching

TICK_SECONDS: Final = 0.1
# At its start a VM gives others this long before it follows the store itself.
START_SECONDS: Final = 0.6
WATCH_POLL_SECONDS: Final = 0.1
# The settings file may change without a signal.
SETTINGS_SECONDS: Final = 1.0
DRAIN_POLL_SECONDS: Final = 0.02
# Part of the grace during which callers may still open connections; what they
# were told before is forgotten by then.
ACCEPT_PART: Final = 0.55
# Longest time to close the ports once all is answered.
CLOSE_SECONDS: Final = 0.3
# Part of the grace after which nothing may run any more.
FINISH_PART: Final = 0.86


log = journal.open_part("process")
belief = journal.open_part("knowledge")


class VmService(process.DrainingService):
    """The process of one entry VM."""

    def __init__(
        self,
        settings: boot.Boot,
        path: pathlib.Path | None = None,
        writer: journal.LineWriter | None = None,
        listeners: listening.Listeners | None = None,
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
        self._file = watching.SettingsFile(path)
        self._writer = writer
        self._listeners = listeners or listening.Listeners()
        self._known = knowledge.Knowledge()
        self._runners: list[web.ServerRunner] = []
        self._busy = 0.0
        self._spent = time.process_time()
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
        self.add_future(self._follow())
        host, _, port = self._own.peer_address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._datagrams, _ = await loop.create_datagram_endpoint(
            lambda: self._life, local_addr=(host, int(port))
        )
        self._callers = await self._serve(
            self._settings.callers,
            callers.CallerServer(self._service, self._known),
        )
        for address, answer in (
            (self._settings.directory, self._book.resolve),
            (self._settings.readiness, self._book.show_ready),
        ):
            server = web.Server(answer, access_log=None)
            self._runners.append(await self._serve(address, server))
        for address, error in self._listeners.failures.items():
            log.warning("port was opened late", port=address, reason=str(error))
        self._listeners.close()
        await self._feeder.start(self._own.peer_address)
        self.add_future(self._keep_upstream())
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
        opened = self._listeners.take(address)
        return await process.serve_http(address, server, opened)

    def _build_parts(self) -> None:
        """Builds the parts; they need the running event loop."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        self._store = metadata.MetadataStore(settings.store)
        self._intake = following.Intake(
            self._known, changes.decode_change, self._note_news
        )
        self._follower = following.StoreFollower(
            self._store, self._intake, self._known
        )
        # Only what the store itself confirmed is told on as fresh: two VMs
        # that lost it would otherwise take each other's word.
        self._feeder = feeding.Feeder(self._intake, self._follower.find_synced)
        self._upstream = upstream.Upstream(
            settings.vm, self._intake, self._list_feeders
        )
        self._registration = registering.Registration(
            self._store,
            self._own,
            changes.encode_vm,
            self._is_source,
            self._follower.give_up,
            settings.least_lease_seconds,
        )
        self._pool = channels.ChannelPool(loop)
        place = reach.Place(settings.zone, settings.region, settings.regions)
        self._asker = asking.Asker(
            self._pool, self._known, border.BORDER, place
        )
        # Those who connected while the libraries were loaded have waited for
        # half of that time, on average.
        waited = (time.monotonic() - self._listeners.opened_at) / 2
        self._pauses = pauses.PauseMonitor(time.monotonic(), waited)
        self._gate = starting.StartGate(self._known)
        self._runner = running.Runner(
            settings, self._known, self._asker, border.BORDER
        )
        self._service = serving.CallerService(
            settings.vm,
            self._known,
            self._runner,
            border.BORDER,
            self._pauses,
            self._gate,
        )
        self._life = pinging.LifeProtocol(self._describe)
        self._book = answering.AddressBook(
            settings,
            self._own,
            self._known,
            self._life,
            directory.ADDRESSING,
            self._gate,
            metrics.VmMetrics(
                self._service,
                self._runner,
                self._asker,
                self._pool,
                self._known,
                self._feeder,
                self._store,
                self._writer,
            ).publish,
        )
        self._service.on_answered = metrics.observe_duration
        self._runner.on_crash = self._tell_crash

    async def _tell_crash(self, fingerprint: int, target: str) -> None:
        """Tells all VMs that a target crashed while it ran a request."""
        key = changes.write_suspect(fingerprint, target)
        await self._registration.tell(key)

    def _describe(self) -> pinging.Datagram:
        """Returns what this VM answers to a ping."""
        return pinging.Datagram(
            pinging.PONG,
            0.0,
            busy=self._busy,
            leaving=self._book.leaving,
            ready=self._book.is_ready(),
        )

    def _note_news(self, item: sources.Item) -> None:
        """Logs what changed of what this VM knows, and tells followers."""
        self._feeder.note(item)
        self._gate.note_news()
        belief.info("changed", key=item.key, revision=item.revision)
        own_key, _ = changes.encode_vm(self._own)
        if item.key == own_key and item.value is None:
            self._registration.note_lost()

    def _list_vms(self) -> list[fleet.VmEntry]:
        """Returns this VM and all that are not known to be away."""
        others = [
            vm
            for vm in self._known.vms.values()
            if vm.name != self._own.name and self._life.is_live(vm)
        ]
        return [self._own, *others]

    def _list_feeders(self) -> list[str]:
        """Returns whom to follow, the best first; none to use the store."""
        vms = self._list_vms()
        listed = feeders.list_feeders(self._own, vms)
        if listed is None and self._follower.is_failing():
            listed = feeders.list_fallbacks(self._own, vms)
        found = [vm.peer_address for vm in listed or ()]
        if not self._known.vms:
            found += self._list_seeds()
        return found

    def _list_seeds(self) -> list[str]:
        """Returns VMs that may live, for one that knows of no other."""
        port = self._settings.first_free_port
        hosts = [seed.rpartition(":")[0] for seed in self._settings.seeds]
        return [f"{h}:{port}" for h in hosts if h != self._settings.ip]

    def _should_watch(self) -> bool:
        """Returns True if this VM must follow the store itself."""
        if self._feeder.subscribers or not self._upstream.is_fresh():
            return True
        return self._is_first()

    def _is_source(self) -> bool:
        """Returns True while others rely on what this VM hears."""
        return bool(self._feeder.subscribers) and (
            not self._follower.is_failing()
        )

    def _is_first(self) -> bool:
        """Returns True if the other VMs of the region follow this one."""
        return feeders.list_feeders(self._own, self._list_vms()) is None

    async def _follow(self) -> None:
        """Follows the store, and registers this VM once it knows it."""
        loop = asyncio.get_running_loop()
        await self._follower.prepare()
        held = self._known.vms.get(self._own.name)
        lease = self._known.leases.get(self._own.name, 0)
        self.add_future(self._registration.keep(held, lease))
        patience = 0.0 if self._is_first() else START_SECONDS
        give_up_at = loop.time() + patience
        while loop.time() < give_up_at and not self._upstream.is_fresh():
            await asyncio.sleep(WATCH_POLL_SECONDS)
        while not self.should_stop:
            if self._should_watch():
                failing = self._follower.is_failing()
                await self._follower.step(patient=not self._is_first())
                self._feeder.tell()
                if self._follower.is_failing() != failing:
                    self._feeder.pulse()
            else:
                await asyncio.sleep(WATCH_POLL_SECONDS)

    async def _keep_upstream(self) -> None:
        """Follows another VM while there is a better one than this."""
        while not self.should_stop:
            await self._upstream.step()

    @mode.Service.task
    async def _keep_ticking(self) -> None:
        """Runs what depends on time alone."""
        loop = asyncio.get_running_loop()
        ping_at = pulse_at = loop.time()
        while not self.should_stop:
            await asyncio.sleep(TICK_SECONDS)
            if self._pauses.tick(time.monotonic()):
                await self._resume()
            now = loop.time()
            self._feeder.tell()
            for identity in self._known.drop_doubted(now):
                belief.info("target did not come back", target=identity)
            if now >= pulse_at:
                pulse_at = now + feeding.PULSE_SECONDS
                self._feeder.pulse()
            if now >= ping_at:
                ping_at = now + pinging.PING_SECONDS
                self._life.ping()
                self._pool.drop_idle()
                self._measure_busy()

    def _measure_busy(self) -> None:
        """Takes what part of its capacity this VM used since last time."""
        spent = time.process_time()
        share = (spent - self._spent) / pinging.PING_SECONDS
        self._spent = spent
        self._busy = share / self._settings.capacity

    async def _resume(self) -> None:
        """Takes up work after this process did not run for a while."""
        log.warning("paused")
        self._life.forgive()
        await self._end_resume()

    async def _end_resume(self) -> None:
        """Takes what is read after some turns to have arrived just then."""
        for _ in range(pauses.RESUME_TURNS):
            await asyncio.sleep(0)
        self._pauses.end_resume()

    async def reload(self) -> None:
        """Reads the settings file anew; what is invalid changes nothing."""
        if self._file.path is None:
            return
        self._file.note_read()
        try:
            settings = settings_files.read_boot(self._file.path)
        except errors.SettingsError as error:
            log.error("reload failed; settings stay", reason=str(error))
            return
        self._settings = settings
        self._runner.apply_bounds(settings.bounds, len(settings.regions))
        self._store.move(settings.store)
        log.info("reloaded", store=settings.store, seeds=settings.seeds)

    @mode.Service.task
    async def _keep_reading_settings(self) -> None:
        """Takes settings that changed without a signal."""
        while not self.should_stop:
            await asyncio.sleep(SETTINGS_SECONDS)
            if self._file.is_changed():
                await self.reload()

    async def drain(self) -> None:
        """Moves callers elsewhere, then finishes what is in flight."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        grace = self._settings.bounds.grace_seconds
        refuse_at = began_at + grace * ACCEPT_PART
        finish_at = began_at + grace * FINISH_PART
        self._book.leaving = True
        self._feeder.close()
        self._service.leaving = True
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
            async with asyncio.timeout(CLOSE_SECONDS):
                await asyncio.gather(*closing)
        except TimeoutError:
            log.warning("ports were closed with connections open")
        self._feeder.close()
        self._datagrams.close()
        self._pool.close()
        await self._store.close()
