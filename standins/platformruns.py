"""The state of one of the users' engines: its runs, its copies and its switches."""

import itertools
import time

from attrs import define, field


@define
class Run:
    """One request that an engine has begun to work on.

    Attributes
    ----------
    first : int
        The first event made here.
    made : int
        The last event made.
    end : str
        ``whole``, ``cancelled`` or ``stopped``; empty while it runs.
    began, worked_at : float
        When it began here and made its last event, in seconds of the host's monotonic clock.
    is_unframed : bool
        Whether its stream comes with neither a length nor chunks.
    """

    name: str
    method: str = ""
    target: str = ""
    headers: dict = field(factory=dict)
    body: str = ""
    first: int = 1
    made: int = 0
    end: str = ""
    began: float = field(factory=time.monotonic)
    worked_at: float = 0.0
    is_unframed: bool = False


@define
class Copy:
    """The memory of another engine's run."""

    run: str
    made: int


@define(eq=False)
class PlatformEngine:
    """An engine, and the switches that make it fail.

    Attributes
    ----------
    step : float
        Seconds for each event.
    plain_work : float
        Seconds for each plain call.
    copy_time : float
        Seconds for the first copy of a run.
    room : bool
        Whether copies of other engines' runs are taken.
    fault : str
        What goes wrong with answers: ``shed``, ``lose``, ``wrong_id``, ``garbage``, ``unframed``,
        ``reset_unframed``, ``killed_unframed``, ``unframed_half``, ``unframed_early``,
        ``unframed_empty``, ``encoded``, ``half_event``, ``killed_inside``, ``fail``,
        ``promise``, ``promise_429``, ``promise_408``, ``mute``, ``unstoppable``,
        ``old_refusal``, a name of ``ENDLESS``, of ``ODD_STATUS`` or of ``PARTIAL_HEADS``;
        empty for nothing.
    after_run : list
        The status and headers, a list of pairs, of the answer to a request that has run; ``ID``
        stands for the request's id. Empty for a good answer.
    report_fault : str
        What goes wrong with reports: a name of ``ENDLESS``; empty for nothing.
    move_fault : str
        What goes wrong with answers to orders to copy or stop: a name of ``ENDLESS``, or empty.
    status : str
        The status of answers whose fault is a name of ``ENDLESS`` or of ``ODD_STATUS``.
    is_unframed : bool
        Whether streams come with neither a length nor chunks and end with their connection.
    stop_manner : str
        What it does when it is ordered to stop a run: ``closes first``, ``answers first``,
        ``never answers`` or ``keeps the run``, the first time; empty for answering at once.
    ends_after : int
        The last event of every run whose caller allows more; 0 for as many as that.
    noise_pause : float
        Seconds between the pieces of an answer without end.
    id_mark : str
        What the ids of events from ``marked_from`` on begin with.
    says_leaving : str
        Which answers say that it leaves: ``all``, ``requests`` or none.
    pause : float
        The seconds for which it wants to be left alone when it sheds a request; 0 for none.
    brittle : int or str
        How many rejections a second it bears before it ends; empty for any number.
    slots : int
        How many callers' requests it runs at once, before it rejects others; 0 for any number.
    rejected : list of float
        When it rejected requests for want of room, in seconds of the host's monotonic clock.
    limit : float or str
        The limit that its answers name, in requests per second; empty for none.
    arrivals : list of str
        The method and path of each call that came, also of one that was turned away.
    request_times : list of float
        When each caller's request came, in seconds of the host's monotonic clock.
    """

    instance: str
    step: float = 0.01
    plain_work: float = 0.0
    copy_time: float = 0.05
    room: bool = True
    fault: str = ""
    after_run: list = field(factory=list)
    report_fault: str = ""
    move_fault: str = ""
    status: str = "200"
    is_unframed: bool = False
    stop_manner: str = ""
    ends_after: int = 0
    noise_pause: float = 0.0
    state: str = "ready"
    id_mark: str = ""
    marked_from: int = 1
    says_leaving: str = ""
    pause: float = 0.0
    brittle: int | str = ""
    slots: int = 0
    rejected: list[float] = field(factory=list)
    limit: float | str = ""
    request_times: list[float] = field(factory=list)
    arrivals: list[str] = field(factory=list)
    runs: list[Run] = field(factory=list)
    copies: dict[str, Copy] = field(factory=dict)
    targets: dict[str, str] = field(factory=dict)
    stopped: dict[str, Copy] = field(factory=dict)
    handles: itertools.count = field(factory=lambda: itertools.count(1))

    def running(self, name: str) -> Run | None:
        """Return a run that has not ended."""
        return next((r for r in self.runs if r.name == name and not r.end), None)
