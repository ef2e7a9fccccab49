"""Copies runs between the users' engines."""

import asyncio
import json

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from standins.common import JsonHandler
from standins.platformfaults import LATE_ANSWER, MUTE_TIME
from standins.platformhandler import EngineHandler
from standins.platformruns import Copy, Run


class Move(EngineHandler):
    """``POST /kv-move``."""

    async def post(self) -> None:
        """Copy a run to another engine; only to one at a time."""
        engine, order = self.standin, self.body()
        engine.arrivals.append("POST /kv-move")
        if engine.move_fault:
            await self.answer_for_ever(engine.move_fault, Run("move"))
            return
        run = engine.running(order["Id"])
        if run is None:
            self.set_status(404)
            self.finish()
            return
        if order["Last"] and engine.fault == "unstoppable":
            self.set_status(500)
            self.finish()
            return
        before = engine.targets.get(run.name)
        if before not in (None, order["Target"]):
            self.set_status(503)
            self.finish({})
            return
        engine.targets[run.name] = order["Target"]
        handle = f"h{next(engine.handles)}-{engine.instance}"
        await asyncio.sleep(0.0 if before else engine.copy_time)
        if order["Last"] and not run.end:
            run.end = "stopped"
        keeps = order["Last"] and engine.stop_manner == "keeps the run"
        if keeps:
            engine.stop_manner = ""
        taken = not keeps and await self.send(order["Target"], handle, run)
        if order["Last"]:
            engine.stopped[handle] = Copy(run.name, run.made)
            await self.delay_answer()
        if not taken:
            engine.targets.pop(run.name, None)
            self.set_status(503)
        self.finish({"Handle": handle, "Created": run.made})

    async def delay_answer(self) -> None:
        """Wait before an order to stop is answered, for as long as `stop_manner` says."""
        match self.standin.stop_manner:
            case "closes first":
                await asyncio.sleep(LATE_ANSWER)
            case "never answers":
                await asyncio.sleep(MUTE_TIME)

    async def send(self, target: str, handle: str, run: Run) -> bool:
        """Give a copy to another engine."""
        body = json.dumps({"handle": handle, "run": run.name, "made": run.made})
        try:
            request = HTTPRequest(f"http://{target}/standin-copy", "POST", body=body)
            await AsyncHTTPClient().fetch(request)
        except (HTTPClientError, OSError):
            return False
        return True


class TakeCopy(JsonHandler):
    """``POST /standin-copy``: between stand-ins only."""

    def post(self) -> None:
        """Take a copy, if there is room."""
        body = self.body()
        if not self.standin.room:
            self.set_status(503)
        else:
            self.standin.copies[body["handle"]] = Copy(body["run"], body["made"])
        self.finish()


class Handle(JsonHandler):
    """``DELETE /kv-handle/ID``."""

    def delete(self, _handle: str) -> None:
        """Forget where runs were copied to."""
        self.standin.targets.clear()
        self.finish()
