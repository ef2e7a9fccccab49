"""The streams of the stand-in engine: started, resumed, cancelled, and sent wrong on request."""

import json

from tornado.iostream import StreamClosedError

from standins.batching import Generation
from standins.common import JsonHandler


class StreamHandler(JsonHandler):
    """Writes a generation's events to one reader."""

    async def send(self, generation: Generation, offset: int) -> None:
        """Send events from an offset to the end."""
        generation.readers += 1
        try:
            await self.begin(generation)
            while True:
                news = generation.news
                tokens = generation.tokens[offset:]
                for text in tokens:
                    await self.put(self.events(generation, offset, text))
                    offset += 1
                    if self.closes_at(offset):
                        return
                if tokens:
                    await self.flush_events()
                if self.standin.close_at >= 0 and offset >= self.standin.close_at:
                    self.standin.close_at = -1
                    self.request.connection.stream.close()
                    return
                if generation.reason and offset >= len(generation.tokens):
                    break
                if len(generation.tokens) == offset:
                    await news.wait()
            end = {"stream": generation.stream, "offset": offset, "reason": generation.reason}
            await self.put(f"event: end\ndata: {json.dumps(end)}\n\n")
            await self.end()
        except StreamClosedError:
            pass
        finally:
            generation.readers -= 1

    async def begin(self, generation: Generation) -> None:
        """Send the head: with neither a length nor chunks if a test asked for that."""
        if self.standin.unframed:
            self._finished = True
            head = f"HTTP/1.1 200 OK\r\nX-Generation: {generation.mark}\r\n\r\n"
            await self.request.connection.stream.write(head.encode())
            return
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("X-Generation", generation.mark)
        await self.flush()

    async def put(self, event: str) -> None:
        """Write an event."""
        if self._finished:
            await self.request.connection.stream.write(event.encode())
        else:
            self.write(event)

    async def flush_events(self) -> None:
        """Send what has been written."""
        if not self._finished:
            await self.flush()

    async def end(self) -> None:
        """End the answer."""
        if self._finished:
            self.request.connection.stream.close()
        else:
            await self.finish()

    def closes_at(self, offset: int) -> bool:
        """Close a stream that has neither a length nor chunks exactly where a test asked for it."""
        if not self._finished or self.standin.close_at != offset:
            return False
        self.standin.close_at = -1
        self.request.connection.stream.close()
        return True

    def events(self, generation: Generation, offset: int, text: str) -> str:
        """Return the event of one token, made wrong where a test asked for that."""
        engine = self.standin
        body = {"stream": generation.stream, "offset": offset, "text": text}
        event = f"id: {offset}\ndata: {json.dumps(body)}\n\n"
        if engine.skip_at == offset:
            engine.skip_at = -1
            return ""
        if engine.foreign_at == offset:
            engine.foreign_at = -1
            foreign = body | {"stream": "somebody-elses", "text": "foreign "}
            return f"id: {offset}\ndata: {json.dumps(foreign)}\n\n" + event
        if engine.duplicate_every and offset % engine.duplicate_every == 0:
            return event + event
        return event


class Generate(StreamHandler):
    """Starts a generation."""

    async def post(self) -> None:
        """Start it and stream it."""
        body = self.body()
        turned_away = self.standin.leaving and not self.standin.accepts_when_leaving
        if self.standin.refuse or turned_away:
            self.set_status(503)
            self.finish({"error": "takes no work"})
            return
        if body["stream"] in self.standin.streams:
            self.set_status(409)
            self.finish({"error": "the stream exists"})
            return
        await self.send(self.standin.admit(body), 0)


class Streams(StreamHandler):
    """Resumes or cancels a generation."""

    async def get(self, stream: str) -> None:
        """Stream it from an offset."""
        generation = self.standin.streams.get(stream)
        if generation is None or generation.reason == "cancelled":
            self.set_status(404)
            self.finish({"error": "no such stream"})
            return
        offset = int(self.get_argument("from", "0"))
        if offset > len(generation.tokens):
            self.set_status(416)
            self.finish({"error": "beyond what has been generated"})
            return
        await self.send(generation, offset)

    def delete(self, stream: str) -> None:
        """Cancel it."""
        generation = self.standin.streams.get(stream)
        if generation is None:
            self.set_status(404)
            self.finish({"error": "no such stream"})
            return
        if not generation.reason:
            self.standin.finish(generation, "cancelled")
        self.finish({})


class StreamInfo(JsonHandler):
    """What the engine knows of one generation."""

    def get(self, stream: str) -> None:
        """Answer with its readers and length so far."""
        generation = self.standin.streams.get(stream)
        if generation is None:
            self.set_status(404)
            self.finish({"error": "no such stream"})
            return
        self.finish(
            {
                "readers": generation.readers,
                "generated": len(generation.tokens),
                "reason": generation.reason,
            }
        )
