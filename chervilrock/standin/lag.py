"""A value that others see late."""

import collections
from typing import Generic, TypeVar

_T = TypeVar("_T")


class LaggedValue(Generic[_T]):
    """A value as it was some time ago."""

    def __init__(self, *, value: _T, lag_s: float, now: float) -> None:
        """Makes a value that is seen at once.

        Args:
          value: first value.
          lag_s: time in seconds after which a change is seen.
          now: present time in seconds.
        """
        self.lag_s = lag_s
        self._history: collections.deque[tuple[float, _T]]
        self._history = collections.deque([(now - lag_s, value)])

    @property
    def newest(self) -> _T:
        """The value without the lag."""
        return self._history[-1][1]

    def set(self, value: _T, now: float) -> None:
        """Changes the value."""
        self._forget(now)
        self._history.append((now, value))

    def get(self, now: float) -> _T:
        """Returns the value as it was `lag_s` ago."""
        self._forget(now)
        return self._history[0][1]

    def _forget(self, now: float) -> None:
        history = self._history
        while len(history) > 1 and history[1][0] <= now - self.lag_s:
            history.popleft()
