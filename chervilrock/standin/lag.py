"""A value whose changes become visible after a delay."""

import collections
from typing import Generic, TypeVar

_T = TypeVar("_T")


class LaggedValue(Generic[_T]):
    """A value that is read as it was `lag_s` seconds ago."""

    def __init__(self, *, value: _T, lag_s: float, now: float) -> None:
        """Creates a value whose first state is visible immediately.

        Args:
          value: first value.
          lag_s: delay in seconds before a change is visible.
          now: current time in seconds.
        """
        self.lag_s = lag_s
        self._history: collections.deque[tuple[float, _T]]
        self._history = collections.deque([(now - lag_s, value)])

    @property
    def newest(self) -> _T:
        """The value without the lag."""
        return self._history[-1][1]

    def set(self, value: _T, now: float) -> None:
        """Sets the value, which is visible after the lag."""
        self._drop_expired(now)
        self._history.append((now, value))

    def get(self, now: float) -> _T:
        """Returns the value as it was `lag_s` ago."""
        self._drop_expired(now)
        return self._history[0][1]

    def _drop_expired(self, now: float) -> None:
        history = self._history
        while len(history) > 1 and history[1][0] <= now - self.lag_s:
            history.popleft()
