"""Installs the libraries of an entry VM under target/ and compiles all sources.

An entry VM cannot write compiled files, so without these it would compile the
sources again at each start, which makes the start slower.
"""

import compileall
import pathlib
import subprocess
import sys
from typing import Final

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
DEPS: Final = ROOT / "target" / "deps"
STAMP: Final = ROOT / "target" / "requirements.installed"
REQUIREMENTS: Final = ROOT / "deploy" / "requirements.txt"


def install() -> None:
    """Installs the pinned libraries unless they are already installed."""
    requirements = REQUIREMENTS.read_text(encoding="utf-8")
    if STAMP.exists() and STAMP.read_text(encoding="utf-8") == requirements:
        return
    command = [sys.executable, "-m", "pip", "install", "-q", "--no-deps"]
    command += ["--disable-pip-version-check", "--upgrade", "--target"]
    command += [str(DEPS), "-r", str(REQUIREMENTS)]
    subprocess.run(command, check=True)
    STAMP.write_text(requirements, encoding="utf-8")


def main() -> None:
    """Installs the libraries, and compiles them and the package."""
    DEPS.mkdir(parents=True, exist_ok=True)
    install()
    compileall.compile_dir(DEPS, quiet=2, workers=0)
    compileall.compile_dir(ROOT / "wigeonspool", quiet=2, workers=0)


if __name__ == "__main__":
    main()
