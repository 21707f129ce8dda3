"""The part of the retry budget of a service that one request uses."""

from chervilrock.decisions.serving.admission.retrybudget import BudgetState
from chervilrock.tasks.serving.state import ServingState


class RetryReservation:
    """Reserves a retry when it is decided, and spends it when it is sent.

    In between, the request waits for a slot and may end without one.
    """

    def __init__(self, *, state: ServingState) -> None:
        """Create an object that has reserved nothing.

        Args:
          state: state of the node with the retry budgets.
        """
        self._state = state
        self._service = ""
        self._is_reserved = False
        self._is_spent = False

    def admit(
        self, service: str, now: float, *, is_passed_on: bool = False
    ) -> None:
        """Record the service of the request and count the request.

        Args:
          service: service of the request.
          now: current time.
          is_passed_on: whether another node has counted the request and
            passed it on.
        """
        self._service = service
        if not is_passed_on:
            self._state.budget(service).record_request(now)

    def reserve(self) -> bool:
        """Reserve a retry; return False if the budget is used up."""
        if not self._is_reserved:
            budget = self._state.budget(self._service)
            self._is_reserved = budget.reserve(self)
        return self._is_reserved

    def find_wait_end(self, latest: float, now: float) -> float:
        """Return until when the request may wait, as `RetryBudget` does."""
        return self._state.budget(self._service).find_wait_end(latest, now)

    def wait(self) -> None:
        """Let the request wait for its turn to reserve a retry."""
        self._state.budget(self._service).wait(self)

    def stop_waiting(self) -> None:
        """Give up the turn of the request."""
        self._state.budget(self._service).stop_waiting(self)

    def begin_send(self, *, is_retry: bool) -> None:
        """Spend the reserved retry, or release it if the send is none.

        Args:
          is_retry: whether a server may have received the request before.
        """
        self._is_spent = is_retry and self._is_reserved
        if self._is_spent:
            self._is_reserved = False
            self._state.budget(self._service).spend()
        else:
            self.release()

    def end_send(self, *, is_sent: bool) -> None:
        """Refund the retry if no byte of the send was sent."""
        if self._is_spent and not is_sent:
            self._state.budget(self._service).refund()
        self._is_spent = False

    def release(self) -> None:
        """Release a retry that is reserved and not sent."""
        if self._is_reserved:
            self._is_reserved = False
            self._state.budget(self._service).release()

    def describe(self) -> BudgetState:
        """Return how many retries to the service are left to the node."""
        return self._state.budget(self._service).describe()
