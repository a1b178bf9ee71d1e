"""Loads the contents of some library packages only when they are used.

The `__init__` modules of these packages import all of their parts, most of
which an entry VM does not use: an HTTP client with cookies and TLS, a framework
for web applications, validators. Loading them took a quarter of the processor
time of a start. Their parts are unchanged; only the `__init__` module does not
run until a name is used that is not listed here.
"""

from collections.abc import Callable, Mapping
import importlib
import importlib.machinery
import importlib.util
import pathlib
import sys
import types
import typing
from typing import Any, Final

from wigeonspool import tls_names

# The names of each package that an entry VM uses: the module that defines each,
# and its name there.
ORIGINS: Final[Mapping[str, Mapping[str, tuple[str, str]]]] = {
    "aiohttp": {
        "ClientError": ("aiohttp.client_exceptions", "ClientError"),
        "ClientPayloadError": (
            "aiohttp.client_exceptions",
            "ClientPayloadError",
        ),
        "ServerDisconnectedError": (
            "aiohttp.client_exceptions",
            "ServerDisconnectedError",
        ),
        "StreamReader": ("aiohttp.streams", "StreamReader"),
    },
    "aiohttp.web": {
        "BaseRequest": ("aiohttp.web_request", "BaseRequest"),
        "RequestHandler": ("aiohttp.web_protocol", "RequestHandler"),
        "RequestPayloadError": ("aiohttp.web_protocol", "RequestPayloadError"),
        "Response": ("aiohttp.web_response", "Response"),
        "Server": ("aiohttp.web_server", "Server"),
        "StreamResponse": ("aiohttp.web_response", "StreamResponse"),
    },
    # Only decorators of classes are used, by `aiohttp`.
    "attr": {
        "ib": ("attr._make", "attrib"),
        "s": ("attr._make", "attrs"),
    },
}
# Functions that importing modules name, but that are called only for proxies of
# an HTTP client, for error pages and for TLS. The first call loads the module.
FUNCTIONS: Final[Mapping[str, tuple[str, ...]]] = {
    "html": ("escape",),
    "ssl": ("MemoryBIO", "create_default_context"),
    "urllib.request": ("getproxies", "proxy_bypass"),
}
# Other names that modules have before they are loaded. `msgspec` would also use
# those of `typing` if `typing_extensions` were not installed.
VALUES: Final[Mapping[str, Mapping[str, Any]]] = {
    "ssl": tls_names.NAMES,
    "typing_extensions": {
        "NotRequired": typing.NotRequired,
        "Required": typing.Required,
        "get_type_hints": typing.get_type_hints,
    },
}
# Modules of which importing modules use no name before they need them.
UNUSED: Final = ("hashlib", "mimetypes")
VERSION_PREFIX: Final = "__version__ = "


class DeferredModule(types.ModuleType):
    """A module whose code runs when a name is used that is not listed."""

    def __getattr__(self, name: str) -> Any:
        """Returns a listed name or a submodule, else loads the module.

        Raises:
            AttributeError: If the module has no such name.
        """
        spec = self.__spec__
        assert spec is not None
        origin = ORIGINS.get(spec.name, {}).get(name)
        if origin is not None:
            module_name, attribute = origin
            value = getattr(importlib.import_module(module_name), attribute)
        elif name == "__version__":
            value = _read_version(spec)
        elif name.startswith("__"):
            raise AttributeError(f"{spec.name} has no {name} yet")
        elif _has_submodule(spec, name):
            return importlib.import_module(f"{spec.name}.{name}")
        else:
            return self.load_name(name)
        setattr(self, name, value)
        return value

    def load_name(self, name: str) -> Any:
        """Runs the module if it has not run yet, and returns one of its names.

        Raises:
            AttributeError: If the module has no such name.
        """
        if type(self) is DeferredModule:
            # From now on the module looks up names as any other does.
            self.__class__ = types.ModuleType  # type: ignore[assignment]
            assert self.__spec__ is not None
            assert self.__spec__.loader is not None
            self.__spec__.loader.exec_module(self)
        return getattr(self, name)


def _has_submodule(spec: importlib.machinery.ModuleSpec, name: str) -> bool:
    """Returns True if a package has a submodule of this name."""
    if spec.submodule_search_locations is None:
        return False
    return importlib.util.find_spec(f"{spec.name}.{name}") is not None


def _read_version(spec: importlib.machinery.ModuleSpec) -> str:
    """Returns the version that the source of a package states.

    Raises:
        AttributeError: If the source states none.
    """
    source = pathlib.Path(spec.origin or "").read_text(encoding="utf-8")
    for line in source.splitlines():
        if line.startswith(VERSION_PREFIX):
            return line.removeprefix(VERSION_PREFIX).strip("\"'")
    raise AttributeError(f"{spec.name} states no version")


def defer() -> None:
    """Defers all packages listed here; to be called before their import.

    A package that is loaded already stays as it is.
    """
    for name in FUNCTIONS.keys() | VALUES.keys():
        functions = {
            function: _build_deferred_function(name, function)
            for function in FUNCTIONS.get(name, ())
        }
        _defer_module(name, {**functions, **VALUES.get(name, {})})
    for name in (*UNUSED, *ORIGINS):
        _defer_module(name, {})


def _build_deferred_function(module_name: str, name: str) -> Callable[..., Any]:
    """Returns a function that loads its module when it is called."""

    def call(*args: Any, **kwargs: Any) -> Any:
        """Calls the function of the loaded module."""
        module = sys.modules[module_name]
        if type(module) is DeferredModule:
            return module.load_name(name)(*args, **kwargs)
        return getattr(module, name)(*args, **kwargs)

    return call


def _defer_module(name: str, names: Mapping[str, Any]) -> None:
    """Defers a module unless it is loaded already or not installed.

    Args:
        name: Name of the module.
        names: Values that the module has before it runs.
    """
    spec = None if name in sys.modules else importlib.util.find_spec(name)
    if spec is None:
        return
    module = DeferredModule(name, None)
    module.__spec__ = spec
    module.__loader__ = spec.loader
    module.__file__ = spec.origin
    parent, _, child = name.rpartition(".")
    module.__package__ = parent
    if spec.submodule_search_locations is not None:
        module.__package__ = name
        module.__path__ = spec.submodule_search_locations
    module.__dict__.update(names)
    sys.modules[name] = module
    if parent:
        setattr(sys.modules[parent], child, module)
