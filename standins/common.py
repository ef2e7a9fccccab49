"""What the stand-ins share: options, the ready line, JSON answers."""

import argparse
import asyncio
import json
import os
import signal

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

HOST = "127.0.0.1"


def parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that every stand-in has."""
    options = argparse.ArgumentParser(description=description)
    options.add_argument("--port", type=int, default=0)
    options.add_argument("--name", default="standin")
    return options


class JsonHandler(RequestHandler):
    """A handler that reads and writes JSON and holds the stand-in."""

    def initialize(self, standin) -> None:
        """Take the stand-in."""
        self.standin = standin

    def body(self) -> dict:
        """Return the request's JSON body."""
        return json.loads(self.request.body or b"{}")


def serve(options, routes: list, *work) -> None:
    """Serve routes until SIGTERM, with background work beside them."""
    asyncio.run(_serve(options, routes, work))


async def _serve(options, routes: list, work) -> None:
    server = HTTPServer(Application(routes, log_function=lambda _: None))
    sockets = bind_sockets(options.port, HOST)
    server.add_sockets(sockets)
    address = f"{HOST}:{sockets[0].getsockname()[1]}"
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    tasks = [asyncio.ensure_future(task) for task in work]
    print(json.dumps({"ready": options.name, "http": address, "pid": os.getpid()}), flush=True)
    await stop.wait()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    server.stop()
    await server.close_all_connections()
