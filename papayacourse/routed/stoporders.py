"""Orders engines to stop a run, and keeps track of the orders that they have not answered."""

from attrs import define, field

from papayacourse import logs
from papayacourse.exceptions import BackendPaused, BackendRefused, BackendUnreachable
from papayacourse.routed.seams import CopyResult, EngineCalls
from papayacourse.types import Host

NOT_STOPPED = frozenset({404, 409})  # statuses: there is no such run; a copy of it is in progress


@define(eq=False)
class StopOrders:
    """The orders to stop one run.

    Attributes
    ----------
    unanswered : list of str
        The engines that may have stopped the run, or may stop it yet, one entry per order: the
        order may have arrived, and its answer has not. An engine that is overloaded may carry out
        an order long after its connection has closed.
    stopped : set of str
        The engines that have stopped the run, by their answers, since it was last sent there.
    unproven : set of str
        The engines that may still work on the run although it has gone on elsewhere: they could
        not be reached, or did not answer, and no answer since has shown that the run has ended.
    """

    unanswered: list[str] = field(factory=list)
    stopped: set[str] = field(factory=set)
    unproven: set[str] = field(factory=set)

    def may_have_stopped(self, engine: str) -> bool:
        """Return True if an engine has stopped the run, or an order that may do so is open."""
        return engine in self.unanswered or engine in self.stopped

    def record_start(self, engine: str) -> None:
        """Note that the run is sent to an engine: what it stopped before was an earlier one."""
        self.stopped.discard(engine)
        self.unproven.discard(engine)

    async def order(
        self, calls: EngineCalls, engine: Host, run: str, target: Host
    ) -> CopyResult:  # fmt: skip
        """Order an engine to stop a run and to copy what is left of it to a target.

        Raises
        ------
        BackendError
            If the engine has not stopped it, or has not said so.
        """
        logs.info("stop ordered", request=run, engine=engine.name, target=target.name)
        self.unanswered.append(engine.name)
        try:
            copied = await calls.copy_run(engine, run, target, stop=True)
        except (BackendUnreachable, BackendPaused):
            self.unanswered.remove(engine.name)  # nothing was sent
            raise
        except BackendRefused as error:
            if error.status in NOT_STOPPED:
                self.unanswered.remove(engine.name)
            raise
        self.unanswered.remove(engine.name)
        self.stopped.add(engine.name)
        return copied
