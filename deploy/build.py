"""Installs the libraries of the daemon into target/deps, and compiles it.

Libraries that were installed for another kind of machine, another Python or other requirements
are replaced: their compiled modules would keep the daemon from starting.
"""

import hashlib
import os
import platform
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LIBRARIES = ROOT / "target" / "deps"
REQUIREMENTS = ROOT / "requirements.txt"
STAMP = "installed-for"  # file in the folder of the libraries


def stamp(requirements: Path) -> str:
    """Return what the installed libraries depend on."""
    digest = hashlib.sha256(requirements.read_bytes()).hexdigest()
    return f"{platform.machine()} {sys.implementation.cache_tag} {digest}\n"


def is_current(libraries: Path, requirements: Path) -> bool:
    """Return True if libraries are installed for this machine, this Python and these requirements.

    Parameters
    ----------
    libraries, requirements : Path
        The folder of the libraries, and the file that lists them.
    """
    file = libraries / STAMP
    return file.is_file() and file.read_text(encoding="utf-8") == stamp(requirements)


def install() -> None:
    """Install the libraries anew."""
    shutil.rmtree(LIBRARIES, ignore_errors=True)
    pip = [sys.executable, "-m", "pip", "install", "-q", "--disable-pip-version-check"]
    subprocess.run([*pip, "--target", str(LIBRARIES), "-r", str(REQUIREMENTS)], check=True)
    (LIBRARIES / STAMP).write_text(stamp(REQUIREMENTS), encoding="utf-8")


def compile_classes() -> None:
    """Compile what attrs generates; a daemon that finds none of it starts later, but starts."""
    script = [sys.executable, str(ROOT / "deploy" / "compileclasses.py"), str(LIBRARIES.parent)]
    environment = os.environ | {"PYTHONPATH": str(LIBRARIES)}
    subprocess.run(script, env=environment, check=False)


def main() -> None:
    """Build what daemons run."""
    if not is_current(LIBRARIES, REQUIREMENTS):
        install()
    folders = [LIBRARIES, ROOT / "papayacourse", ROOT / "platform"]
    subprocess.run([sys.executable, "-m", "compileall", "-q", *map(str, folders)], check=False)
    compile_classes()


if __name__ == "__main__":
    main()
