"""When the store came back, and which reads its silence has made useless.

The store holds a read until there is news. One that it held while it fell
silent, or that was begun in the silence, is never answered, also not after the
store is back, and ends only by its own timeout. So a node ends its reads and
begins them anew as soon as it knows that the store is back: from its own first
answer, or from the leader, which reads it several times a second.
"""

from typing import NamedTuple

RETURN_GAP_S = 1.0
"""Least time without an answer after which held reads count as useless where
calls failed at once. A store that turns single calls away answers others
between them, and nodes that began their reads anew each time would double
their calls."""

LONGEST_READ_S = 30.0
"""Time after which all reads have ended that were begun before the store came
back: it holds none for longer."""


class StoreNews(NamedTuple):
    """What a leader tells of the store.

    Attributes:
      term: its term.
      returns: how often the store has come back to it in this term, or
        shortly before.
    """

    term: int
    returns: int


class StoreWatch:
    """What the ends of all calls of a node to the store come to.

    Attributes:
      answered: when the store last answered.
      lost_at: since when it does not answer, None while it does.
      back_at: when it last came back.
      returns: how often it came back after a silence, in the present term
        or shortly before.
    """

    def __init__(self, *, now: float) -> None:
        """Count the store as there."""
        self.answered = now
        self.lost_at: float | None = None
        self.back_at = float("-inf")
        self.returns = 0
        self._doubted_at = float("-inf")
        self._silent: set[str] = set()
        self._heard: StoreNews | None = None

    def note_answer(self, topic: str, now: float) -> bool:
        """Note an answer to a call of a topic; tell whether the store is back.

        Then reads that were begun earlier are useless. Where only a part of
        the topics is silent, the answers of others tell nothing of it.
        """
        gap_s = now - self.answered
        self.answered = now
        # An answer to another topic may have told before that the store is
        # there, which says nothing of the reads of this one.
        was_silent = topic in self._silent
        if self.lost_at is None and not was_silent:
            return False
        is_back = was_silent or gap_s >= RETURN_GAP_S
        self.lost_at = None
        self.back_at = now
        if is_back:
            self.returns += 1
            self._doubted_at = now
            self._silent.clear()
        return is_back

    def note_failure(self, topic: str, now: float, *, is_silent: bool) -> None:
        """Note that a call got no usable answer.

        Args:
          topic: topic of the call.
          now: present time.
          is_silent: whether it got none until its timeout, rather than a
            refusal or the end of its connection.
        """
        if is_silent:
            self._silent.add(topic)
        if self.lost_at is None:
            self.lost_at = now

    def note_copy(self, now: float) -> None:
        """Note that the store has come back from a copy.

        A read that it held then waits for an offset that may be far ahead.
        """
        self.returns += 1
        self.back_at = now
        self._doubted_at = now
        self._silent.clear()

    def note_doubt(self, now: float) -> None:
        """Note that the leader gets no answer of the store."""
        self._doubted_at = now

    def begin_term(self, now: float) -> None:
        """Count returns for a term of this node as the leader.

        A silence shortly before counts, be it that of the former leader
        alone, since nobody has told that it is over. Had each new leader
        counted as a return, 77 nodes would make 155 calls more whenever one
        is replaced.
        """
        self.returns = int(now - self._doubted_at < LONGEST_READ_S)

    def note_news(self, news: StoreNews) -> bool:
        """Take what a leader tells; tell whether the store is back."""
        known = 0
        if self._heard is not None and self._heard.term == news.term:
            known = self._heard.returns
        self._heard = news
        return news.returns > known
