"""Compiles the methods that attrs generates for the daemon's classes, into a folder.

Run ``python deploy/compileclasses.py FOLDER`` with the libraries on Python's path.
"""

import importlib
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:1] = [str(ROOT / "platform"), str(ROOT)]

from papayacourse import classcode  # noqa: E402

MODULES = ("userplatform.adapter", "papayacourse.routed.daemon")  # imported by platform/run.py


def main(folder: Path) -> None:
    """Import the daemon, and store what attrs has compiled meanwhile."""
    file = folder / classcode.FILE_NAME
    file.unlink(missing_ok=True)
    with classcode.kept_in(file) as codes:
        for module in MODULES:
            importlib.import_module(module)
    classcode.write(file, codes)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
