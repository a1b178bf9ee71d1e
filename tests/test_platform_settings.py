"""Settings files of the platform that hold an odd value."""

import asyncio
import pathlib
import re

import pytest

from tests import test_vm_process
from tests import vm_fleet
from wigeonspool import listen_sockets
from wigeonspool.model import errors
from wigeonspool.platform import ports
from wigeonspool.platform import settings
from wigeonspool.vm import service
from wigeonspool.vm import settings_file

MAX_MESSAGE_CHARS = 700
LONG = '"' + "1" * 5000 + 's"'


def write(path: pathlib.Path, field: str = "", value: str = "") -> None:
    """Writes a settings file in which one field has another value, as TOML."""
    own = vm_fleet.build_settings("vm-1", "zone-a", "127.0.0.1:9")
    test_vm_process.write_settings(path, own, "3s")
    text = path.read_text(encoding="utf-8")
    if field:
        text, count = re.subn(
            rf"^{field} = .*$",
            lambda _: f"{field} = {value}",
            text,
            flags=re.MULTILINE,
        )
        assert count
    path.write_text(text, encoding="utf-8")


ODD_FIELDS = [
    ("Node", '""'),
    ("Node", '"a\\nb"'),
    ("Node", '"' + "x" * 5000 + '"'),
    ("Ip", '"localhost"'),
    ("Zone", '"a\\nb"'),
    ("PortRange", "[0, 5]"),
    ("PortRange", "[99999, 99999]"),
    ("PortRange", "[-1, 5]"),
    ("PortRange", "[7000, 6000]"),
    ("PortRange", "[7000, 99999]"),
    ("PortRange", "[]"),
    ("PortRange", "[7000]"),
    ("PortRange", "[nan, nan]"),
    ("PortRange", "[" + "9" * 5000 + ", 5]"),
    ("EdgeAddr", '"127.0.0.1:99999"'),
    ("EdgeAddr", '"a..b:80"'),
    ("Readiness", '"127.0.0.1"'),
    ("Directory", '"127.0.0.1:x"'),
    ("Address", '"127.0.0.1:99999"'),
    ("CpuShare", "nan"),
    ("CpuShare", "inf"),
    ("CpuShare", "0"),
    ("CpuShare", "-1"),
    ("CpuShare", '"nan"'),
    ("Cores", "nan"),
    ("Cores", "1e300"),
    ("RetryBudget", "nan"),
    ("RetryBudget", "-0.1"),
    ("RetryBudget", "inf"),
    ("BudgetSlack", "nan"),
    ("BudgetSlack", "-1"),
    ("RetryWindow", '"0s"'),
    ("RetryWindow", LONG),
    ("Grace", LONG),
    ("Grace", '"-1s"'),
    ("Grace", '"inf"'),
    ("MinTtl", LONG),
    ("ttl_max", LONG),
    ("ttl_max", "1979-05-27"),
]
ODD_FILES = [
    b"",
    b"\xff",
    b"a = " + b"[" * 5000 + b"]" * 5000,
    b"a = " + b"{a=" * 5000,
    b".".join([b"a"] * 5000) + b" = 1",
    b"a = 1" + b"0" * 5000,
    b"a = 2020-99-99",
    b"a = '" + b"x" * settings.MAX_FILE_BYTES + b"'",
    b"Self = 3",
    b"Network = [[[]]]",
]


class TestFields:
    @pytest.mark.parametrize(("field", "value"), ODD_FIELDS)
    def test_odd_field_is_an_error_of_the_settings(
        self, tmp_path: pathlib.Path, field: str, value: str
    ) -> None:
        path = tmp_path / "local.toml"
        write(path, field, value)
        with pytest.raises(errors.SettingsError) as caught:
            settings.read_settings(path)
        assert len(str(caught.value)) < MAX_MESSAGE_CHARS

    @pytest.mark.parametrize("content", ODD_FILES)
    def test_odd_file_is_an_error_of_the_settings(
        self,
        tmp_path: pathlib.Path,
        monkeypatch: pytest.MonkeyPatch,
        content: bytes,
    ) -> None:
        path = tmp_path / "local.toml"
        path.write_bytes(content)
        with pytest.raises(errors.SettingsError) as caught:
            settings.read_settings(path)
        assert len(str(caught.value)) < MAX_MESSAGE_CHARS
        monkeypatch.setenv(ports.SETTINGS_PATH_VARIABLE, str(path))
        assert ports.list_ports() == []

    def test_valid_file_is_read(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "local.toml"
        write(path)
        assert settings.read_settings(path).vm == "vm-1"
        write(path, "Seeds", '["a..b:1", "x"]')
        assert len(settings.read_settings(path).seeds) == 2

    @pytest.mark.parametrize(
        "address", ["127.0.0.1:99999", "a..b:80", "127.0.0.1:" + "9" * 5000]
    )
    def test_odd_address_opens_no_port(self, address: str) -> None:
        listeners = listen_sockets.ListenSockets([address])
        assert list(listeners.failures) == [address]


class TestReload:
    async def test_odd_file_leaves_the_settings(
        self, vms: vm_fleet.VmFleet, tmp_path: pathlib.Path
    ) -> None:
        # Guards against lost requests: a RecursionError ended the task that
        # polls the file, and with it the process.
        vm: service.VmService = await vms.start_vm("vm-1")
        path = tmp_path / "local.toml"
        vm._settings_file = settings_file.SettingsFile(path)
        before = vm._settings
        for content in ODD_FILES:
            path.write_bytes(content)
            await vm.reload()
            assert vm._settings is before
        for field, value in ODD_FIELDS:
            write(path, field, value)
            await vm.reload()
            assert vm._settings is before
        # A request that may have waited in a socket while this process was busy
        # with the files counts as late, until the next tick.
        await asyncio.sleep(3 * service.TICK_SECONDS)
        assert (await vms.send("vm-1", "/read/1"))[0] == 200
        assert not vm.crashed
