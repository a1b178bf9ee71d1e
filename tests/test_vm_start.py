"""What an entry VM loads and whom it names when it has just started."""

import asyncio
import hashlib
import importlib
import os
import pathlib
import signal
import socket
import ssl
import subprocess
import sys
import textwrap

import aiohttp
from aiohttp import http
import pytest
import typing_extensions

from tests import fleet
from tests import test_vm_process
from tests import vm_fleet
from wigeonspool import deferred_packages
from wigeonspool import tls_names
from wigeonspool.model import fleet as fleet_model
from wigeonspool.platform import store_keys

# Modules that a VM does not need to serve requests, most of which took some
# milliseconds of processor time to load. `ssl`, `html` and `urllib.request` are
# listed by what they load in turn.
HEAVY_MODULES = {
    "_hashlib",
    "_ssl",
    "aiohttp.client",
    "aiohttp.client_reqrep",
    "aiohttp.connector",
    "aiohttp.cookiejar",
    "aiohttp.tracing",
    "aiohttp.web_app",
    "aiohttp.web_fileresponse",
    "aiohttp.web_runner",
    "aiohttp.web_urldispatcher",
    "aiohttp.web_ws",
    "aiohappyeyeballs",
    "aioprometheus",
    "argparse",
    "attr.converters",
    "attr.validators",
    "colorlog",
    "croniter",
    "cyclopts",
    "dateutil",
    "html.entities",
    "http.client",
    "importlib.metadata",
    "logging.config",
    "loguru",
    "mode",
    "multiprocessing",
    "pydantic",
    "pytz",
    "secrets",
    "unittest",
    "wigeonspool.vm.metrics",
    "yaml",
}
# Runs a VM as in production, and prints the loaded modules when it ends.
PROBE = """
import sys, wigeonspool.vm.main
wigeonspool.vm.main.main()
print(*sys.modules, file=sys.stderr)
"""


async def run_probe(vms: vm_fleet.VmFleet, folder: pathlib.Path) -> set[str]:
    """Returns the modules that a VM has loaded after it served callers."""
    settings = vm_fleet.build_settings("vm-1", "zone-a", vms.store_address)
    vms.settings["vm-1"] = settings
    path = folder / "local.toml"
    test_vm_process.write_settings(path, settings, "1s")
    environment = {
        "PYTHONPATH": os.pathsep.join(p for p in sys.path if p),
        "WIGEONSPOOL_BOOT": str(path),
    }
    probe = await asyncio.create_subprocess_exec(
        *(sys.executable, "-S", "-c", PROBE),
        env=environment,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        await fleet.wait_for(lambda: can_connect(settings.callers))
        assert (await vms.send("vm-1", "/read/1"))[0] == 200
        status, _, _ = await vms.send("vm-1", "/write/1", "POST", data=b"x")
        assert status == 200
        assert (await vms.send("vm-1", "/none"))[0] == 404
        assert await vms.resolve("vm-1", "zone-a") == [settings.callers]
        url = f"http://{settings.readiness}/v1/ready"
        async with vms.session.get(url) as response:
            assert response.status == 200
    finally:
        probe.send_signal(signal.SIGTERM)
        _, stderr = await probe.communicate()
    assert probe.returncode == 0, stderr.decode()
    return set(stderr.decode().splitlines()[-1].split())


def can_connect(address: str) -> bool:
    """Returns True if a port accepts connections."""
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) == 0


class TestLoadedModules:
    async def test_vm_that_serves_has_not_loaded_what_it_does_not_need(
        self, vms: vm_fleet.VmFleet, tmp_path: pathlib.Path
    ) -> None:
        # Guards against slow starts: after a loss of power, no request is
        # served until a VM has loaded its modules.
        loaded = await run_probe(vms, tmp_path)
        assert "wigeonspool.vm.service" in loaded
        assert sorted(HEAVY_MODULES & loaded) == []


class TestDeferredPackages:
    def run(self, code: str) -> str:
        """Returns the output of a process in which packages are deferred."""
        prelude = (
            "import sys\n"
            "from wigeonspool import deferred_packages\n"
            "deferred_packages.defer()\n"
        )
        output = subprocess.run(
            [sys.executable, "-c", prelude + textwrap.dedent(code)],
            capture_output=True,
            check=True,
            text=True,
        )
        return output.stdout.strip()

    @pytest.mark.parametrize(
        ("package", "name", "module"),
        [
            (package, name, module)
            for package, names in deferred_packages.ORIGINS.items()
            for name, (module, _) in names.items()
        ],
    )
    def test_listed_name_is_that_of_the_package(
        self, package: str, name: str, module: str
    ) -> None:
        # Guards against a release of the library that moves the name.
        module_name, attribute = deferred_packages.ORIGINS[package][name]
        expected = getattr(importlib.import_module(package), name)
        origin = importlib.import_module(module_name)
        assert getattr(origin, attribute) is expected

    @pytest.mark.parametrize(
        "code",
        [
            "import aiohttp; print(aiohttp.ClientSession.__name__)",
            "from aiohttp import ClientSession as C; print(C.__name__)",
            "import aiohttp; aiohttp.StreamReader; aiohttp.ClientSession;"
            "print(aiohttp.client.ClientSession.__name__)",
        ],
    )
    def test_name_that_is_not_listed_loads_the_package(self, code: str) -> None:
        assert self.run(code) == "ClientSession"

    def test_names_are_those_of_the_loaded_package(self) -> None:
        code = """
        from aiohttp import web
        early = web.Response
        web.Application
        import aiohttp
        print(web.Response is early, aiohttp.web is web, aiohttp.__version__)
        """
        assert self.run(code) == f"True True {aiohttp.__version__}"

    def test_submodule_does_not_load_its_package(self) -> None:
        code = """
        import aiohttp
        from aiohttp import client_proto, http
        import aiohttp.streams
        print("aiohttp.client" in sys.modules, http.SERVER_SOFTWARE)
        """
        assert self.run(code) == f"False {http.SERVER_SOFTWARE}"

    def test_unknown_name_is_an_error(self) -> None:
        code = """
        import mimetypes, aiohttp
        print(hasattr(aiohttp, "odd"), hasattr(mimetypes, "odd"))
        """
        assert self.run(code) == "False False"

    def test_deferred_functions_call_those_of_their_modules(self) -> None:
        code = """
        from html import escape
        from urllib.request import getproxies
        loaded = "html.entities" in sys.modules or "http.client" in sys.modules
        import os
        os.environ["http_proxy"] = "http://h:1"
        print(loaded, escape("<&>"), getproxies()["http"])
        import html, mimetypes, uuid
        print(html.unescape("&lt;"), mimetypes.guess_type("a.html")[0])
        print(html.escape("<"), escape("<"), len(uuid.uuid4().hex))
        """
        assert self.run(code).splitlines() == [
            "False &lt;&amp;&gt; http://h:1",
            "< text/html",
            "&lt; &lt; 32",
        ]

    def test_names_of_tls_have_the_kinds_of_the_real_ones(self) -> None:
        # Guards against an `except` or `isinstance` on something else.
        for name, value in tls_names.NAMES.items():
            real = getattr(ssl, name)
            if isinstance(real, int):
                assert value == real
            elif isinstance(real, type) and issubclass(real, Exception):
                assert issubclass(value, OSError)
            else:
                assert isinstance(value, type) == isinstance(real, type)

    def test_names_of_types_are_the_real_ones(self) -> None:
        # `get_type_hints` is a wrapper of that of `typing`.
        names = deferred_packages.VALUES["typing_extensions"]
        for name in ("NotRequired", "Required"):
            assert names[name] is getattr(typing_extensions, name)
        code = """
        import typing_extensions
        import hashlib
        loaded = "_hashlib" in sys.modules
        digest = hashlib.blake2b(b"a", digest_size=2).hexdigest()
        print(loaded, digest, typing_extensions.TypedDict.__name__)
        """
        digest = hashlib.blake2b(b"a", digest_size=2).hexdigest()
        assert self.run(code) == f"False {digest} TypedDict"

    def test_context_of_tls_is_a_real_one(self) -> None:
        code = """
        import ssl
        loaded = "_ssl" in sys.modules
        print(loaded, ssl.create_default_context().verify_mode)
        """
        assert self.run(code) == "False 2"


class TestLookupAfterStart:
    """All VMs have lost power; their registrations are still in the store."""

    async def put_entry(
        self, vms: vm_fleet.VmFleet, name: str, capacity: float
    ) -> None:
        """Writes the entry of a VM that is not up."""
        entry = fleet_model.VmEntry(
            name,
            "north",
            "zone-a",
            fleet.reserve_address(),
            fleet.reserve_address(),
            capacity,
        )
        key, value = store_keys.encode_vm(entry)
        await vms.store.put(key, value)

    async def test_lookup_names_no_vm_that_is_not_up(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        # Guards against callers that are sent to VMs without power for as long
        # as these have not missed some pings.
        for number in range(3):
            await self.put_entry(vms, f"vm-large-{number}", 2.15)
        started = await vms.start_vm("vm-1")
        await fleet.wait_for(lambda: len(started._cluster.vms) >= 3)
        own = vms.settings["vm-1"].callers
        assert await vms.resolve("vm-1", "zone-a") == [own]
        assert await vms.resolve("vm-1", "zone-b") == [own]

    async def test_first_lookup_names_two_vms_of_the_zone(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        second = await vms.start_vm("vm-2")
        await vms.wait_until_listed(second, {"vm-1", "vm-2"})
        addresses = await vms.resolve("vm-2", "zone-a")
        assert set(addresses) == {
            vms.settings[name].callers for name in ("vm-1", "vm-2")
        }
