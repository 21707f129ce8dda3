"""Probes servers to find out whether this node is cut off from all of them."""

from chervilrock.decisions.serving.nodes.reachability import ProbeRound
from chervilrock.events import emit, Event
from chervilrock.tasks.serving.messages import ServersProbed
from chervilrock.tasks.serving.outbound import Outbound
from chervilrock.tasks.serving.state import ServingState
from chervilrock.tasks.serving.waitqueue import WaitQueue


class ServerProbes:
    """The probes of one node."""

    def __init__(
        self, *, state: ServingState, outbound: Outbound, waitqueue: WaitQueue
    ) -> None:
        """Create probes of which none was sent.

        Args:
          state: state of the node.
          outbound: makes calls.
          waitqueue: queue of the requests that wait for a slot.
        """
        self._state = state
        self._outbound = outbound
        self._waitqueue = waitqueue

    def act(self, now: float) -> None:
        """Probe servers if due."""
        reachability = self._state.reachability
        if not reachability.is_probe_due(now):
            return
        targets = self._state.choose_probe_targets(
            is_mixed=reachability.is_confirming
        )
        if targets:
            reachability.record_probing()
            self._outbound.probe_servers(targets, now)
        else:
            reachability.record_probed(ProbeRound(0, False, now), now)

    def record(self, probed: ServersProbed, now: float) -> None:
        """Apply the outcome of a round of probes."""
        reachability = self._state.reachability
        cut_s = reachability.find_cut_s(now)
        if not reachability.record_probed(probed.probes, now):
            return
        if reachability.is_cut_off:
            emit(
                Event.SERVERS_LOST,
                probed=probed.probes.probed,
                answered_ms=reachability.find_silence_ms(now),
                reached_ms=reachability.find_reached_ms(now),
                probing_ms=reachability.find_probing_ms(now),
                running=sum(self._state.own_loads.values()),
            )
        else:
            self._state.forget_avoided()
            emit(Event.SERVERS_REACHED, seconds=round(cut_s, 3))
        # Waiting requests take another way, or look for slots again.
        self._waitqueue.notify()
