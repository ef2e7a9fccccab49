"""Checks one request against quarantine before it is sent, and watches its runs."""

from contextlib import AbstractAsyncContextManager

from attrs import field, frozen

from papayacourse import partblame
from papayacourse.answermemory import AnswerMemory
from papayacourse.deaths import ServerDeaths, WatchedRun
from papayacourse.types import Host


@frozen
class RequestGuard:
    """Checks one request against quarantine and watches its runs.

    Attributes
    ----------
    answers : AnswerMemory
        The memory budget for answers that are buffered whole.
    fingerprint : str
        Identifies repeats of the request.
    part_names : tuple of str
        The names of those parts of its prompt that other requests may hold as well.
    parts : str
        Identifies these parts; empty if there are none.
    """

    deaths: ServerDeaths
    answers: AnswerMemory
    fingerprint: str
    part_names: tuple[str, ...] = ()
    parts: str = field(init=False)

    @parts.default
    def _encode_parts(self) -> str:
        return partblame.encode(self.fingerprint, self.part_names)

    def check(self) -> None:
        """Raise RequestRefused if too many servers have died under the request or its parts."""
        quarantine = self.deaths.quarantine
        quarantine.check(self.fingerprint)
        quarantine.check_parts(partblame.decode(self.parts), self.part_names)

    def is_condemned(self) -> bool:
        """Return True if too many servers have died under the request or its parts."""
        quarantine = self.deaths.quarantine
        if quarantine.is_condemned(self.fingerprint):
            return True
        return quarantine.is_part_condemned(partblame.decode(self.parts))

    def is_suspect(self) -> bool:
        """Return True if one more server death condemns the request."""
        return self.deaths.quarantine.is_suspect(self.fingerprint)

    def is_struck(self) -> bool:
        """Return True if a server death is attributed to the request alone."""
        return self.deaths.quarantine.is_struck(self.fingerprint)

    def watch_run(
        self, server: Host, has_begun: bool = False
    ) -> AbstractAsyncContextManager[WatchedRun]:
        """Watch a run of the request on a server.

        Parameters
        ----------
        has_begun : bool
            Whether another server was past the beginning of the answer already.
        """
        return self.deaths.watch_run(server, self.fingerprint, "" if has_begun else self.parts)
