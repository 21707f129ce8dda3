"""Telling other nodes of servers that ended under a request.

The leader gets each end at once and, when it is a new one, all ends of this
node again. When it does not answer, or does not act on what it got, all nodes
are told: each of them can judge by itself.
"""

from collections.abc import Iterable

from chervilrock.decisions.serving.suspects import EndReport, ServerEnd
from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.tasks.serving.messages import EndsAnswered
from chervilrock.tasks.serving.outbound import Outbound
from chervilrock.tasks.serving.state import ServingState

RETRY_S = 0.2
"""Pause after a report that the leader did not take."""

MAX_REPORTED = 64
"""Ends in one report."""

MAX_KEPT = 256
"""Ends that are told to each new leader."""

Key = tuple[str, str]
"""A request and a server that ended under it."""


class EndReports:
    """The ends that this node saw, and who was told of them."""

    def __init__(self, *, state: ServingState, outbound: Outbound) -> None:
        """Have nothing to tell."""
        self._state = state
        self._outbound = outbound
        self._seen: dict[Key, ServerEnd] = {}
        self._unsent: dict[Key, ServerEnd] = {}
        self._unsent_cleared: list[str] = []
        self._spread: set[Key] = set()
        self._leader = ""
        self._is_awaited = False
        self._retry_at = float("-inf")

    def note_end(self, content: str, end: ServerEnd) -> None:
        """Tell of a server that ended under a request."""
        while len(self._seen) >= MAX_KEPT:
            oldest = next(iter(self._seen))
            del self._seen[oldest]
            self._spread.discard(oldest)
        key = (content, end.server)
        self._seen[key] = end
        self._unsent[key] = end

    def note_clean(self, content: str) -> None:
        """Tell that a request ran clean."""
        self.drop(content)
        self._unsent_cleared.append(content)

    def drop(self, content: str) -> None:
        """Tell no more of a request."""
        for key in self._list_keys({content}):
            del self._seen[key]
            self._unsent.pop(key, None)
            self._spread.discard(key)

    def tell(self, leader: NodeEntry | None, now: float) -> None:
        """Tell the leader, or all nodes when none is heard."""
        if leader is not None and leader.incarnation != self._leader:
            # A new leader knows only what nodes tell it.
            self._leader = leader.incarnation
            self._is_awaited = False
            self._retry_at = now
            self._unsent = dict(self._seen)
        if not self._unsent and not self._unsent_cleared:
            return
        if leader is None:
            self._spread_out(self._unsent)
        elif not self._is_awaited and now >= self._retry_at:
            self._is_awaited = True
            report = EndReport(
                ends=self._list_ends(self._unsent),
                cleared=tuple(self._unsent_cleared[:MAX_REPORTED]),
            )
            self._outbound.tell_ends(leader, report)

    def keep_to_itself(self) -> None:
        """Tell nobody what was seen so far, since this node leads."""
        self._unsent.clear()
        self._unsent_cleared.clear()

    def note_answered(self, answered: EndsAnswered, now: float) -> None:
        """Take what came of a report."""
        if answered.incarnation != self._leader:
            return
        self._is_awaited = False
        if not answered.is_taken:
            self._retry_at = now + RETRY_S
            self._spread_out(self._unsent)
            return
        for content, end in answered.report.ends:
            self._unsent.pop((content, end.server), None)
        done = set(answered.report.cleared)
        self._unsent_cleared = [
            one for one in self._unsent_cleared if one not in done
        ]

    def spread(self, contents: Iterable[str]) -> None:
        """Tell all nodes, once, what this one saw of some requests."""
        self._spread_out(self._list_keys(set(contents)))

    def _spread_out(self, keys: Iterable[Key]) -> None:
        fresh = [key for key in keys if key not in self._spread]
        if not fresh:
            return
        report = EndReport(ends=self._list_ends(fresh))
        self._spread.update(
            (content, end.server) for content, end in report.ends
        )
        for entry in self._state.known_nodes.values():
            if entry.incarnation != self._state.own.incarnation:
                self._outbound.tell_ends(entry, report)

    def _list_keys(self, contents: set[str]) -> list[Key]:
        return [key for key in self._seen if key[0] in contents]

    def _list_ends(
        self, keys: Iterable[Key]
    ) -> tuple[tuple[str, ServerEnd], ...]:
        known = [key for key in keys if key in self._seen]
        return tuple((key[0], self._seen[key]) for key in known[:MAX_REPORTED])
