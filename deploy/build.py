"""Installs what an entry VM needs under target/ and compiles the sources.

Starts are faster with compiled sources, since an entry VM cannot write any.
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
    """Installs the pinned libraries, unless they are there already."""
    wanted = REQUIREMENTS.read_text(encoding="utf-8")
    if STAMP.exists() and STAMP.read_text(encoding="utf-8") == wanted:
        return
    command = [sys.executable, "-m", "pip", "install", "-q", "--no-deps"]
    command += ["--disable-pip-version-check", "--upgrade", "--target"]
    command += [str(DEPS), "-r", str(REQUIREMENTS)]
    subprocess.run(command, check=True)
    STAMP.write_text(wanted, encoding="utf-8")


def main() -> None:
    """Builds everything."""
    DEPS.mkdir(parents=True, exist_ok=True)
    install()
    compileall.compile_dir(DEPS, quiet=2, workers=0)
    compileall.compile_dir(ROOT / "wigeonspool", quiet=2, workers=0)


if __name__ == "__main__":
    main()
