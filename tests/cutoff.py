"""The routed daemon, whose connections to some ports fail as a control file says; for tests."""

import json
import os
import runpy
import socket
import sys
import threading
import time
import weakref
from pathlib import Path

POLL = 0.05  # seconds
CUT_FILE_VARIABLE = "PAPAYACOURSE_TEST_CUT"

control = Path(os.environ[CUT_FILE_VARIABLE])
opened: weakref.WeakSet[socket.socket] = weakref.WeakSet()
real_connect = socket.socket.connect


def read_control() -> dict:
    """Return what the test wants: the ``mode``, the servers' ``ports``, and a silent ``hole``."""
    return json.loads(control.read_text()) if control.exists() else {"mode": "", "ports": []}


def connect(self: socket.socket, address) -> None:
    """Connect, unless the address is a server's and the daemon is cut off from servers."""
    cut = read_control()
    if not isinstance(address, tuple) or address[1] not in cut["ports"]:
        return real_connect(self, address)
    opened.add(self)
    match cut["mode"]:
        case "refused" | "reset":
            raise ConnectionRefusedError(f"cut off from {address}")
        case "hanging":
            return real_connect(self, tuple(cut["hole"]))
    return real_connect(self, address)


def reset_when_told() -> None:
    """Close the open connections to servers once, when the mode becomes reset."""
    before = ""
    while True:
        time.sleep(POLL)
        mode = read_control()["mode"]
        if mode == "reset" != before:
            for link in list(opened):
                try:
                    link.shutdown(socket.SHUT_RDWR)
                except OSError:
                    continue
        before = mode


if __name__ == "__main__":
    socket.socket.connect = connect
    threading.Thread(target=reset_when_told, daemon=True).start()
    program = sys.argv[1]
    sys.path[0] = str(Path(program).parent)
    runpy.run_path(program, run_name="__main__")
