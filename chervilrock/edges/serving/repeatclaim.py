"""What one request takes of the budget of repeats of its service."""

from chervilrock.decisions.serving.retrybudget import BudgetState
from chervilrock.tasks.serving.state import ServingState


class RepeatClaim:
    """Reserves a repeat when it is decided, and counts it when it is sent.

    In between a request waits for a place, and may end without one.
    """

    def __init__(self, *, state: ServingState) -> None:
        """Claim nothing yet.

        Args:
          state: holds the budgets of the node.
        """
        self._state = state
        self._service = ""
        self._is_reserved = False
        self._is_spent = False

    def admit(self, service: str, now: float) -> None:
        """Note where the request goes, and count it."""
        self._service = service
        self._state.budget(service).record_request(now)

    def reserve(self) -> bool:
        """Reserve a repeat; False when the bound leaves no room for it."""
        if not self._is_reserved:
            budget = self._state.budget(self._service)
            self._is_reserved = budget.reserve()
        return self._is_reserved

    def begin_send(self, *, is_repeat: bool) -> None:
        """Count a send that begins.

        Args:
          is_repeat: whether a server may have got the request before.
        """
        self._is_spent = is_repeat and self._is_reserved
        if self._is_spent:
            self._is_reserved = False
            self._state.budget(self._service).spend()
        else:
            self.give_back()

    def end_send(self, *, has_left: bool) -> None:
        """Take the repeat back if no byte of the send has left."""
        if self._is_spent and not has_left:
            self._state.budget(self._service).refund()
        self._is_spent = False

    def give_back(self) -> None:
        """Give up what is reserved and not sent."""
        if self._is_reserved:
            self._is_reserved = False
            self._state.budget(self._service).release()

    def describe(self) -> BudgetState:
        """Return how many repeats to the service are left to the node."""
        return self._state.budget(self._service).describe()
