"""Admission without limits, as a baseline for comparisons."""

from chervilrock.decisions.limits import admission as admissions
from chervilrock.decisions.limits import verdicts
from chervilrock.decisions.routing import base


class OpenAdmission(admissions.Admission):
    """Admits every request immediately, without limits."""

    def offer(self, request: base.RequestView, now: float) -> verdicts.Verdict:
        """Admit a request."""
        del now
        return verdicts.Admitted(request.request_id)

    def release(
        self, request_id: str, now: float, ok: bool, *, tokens: int = 0
    ) -> tuple[str, ...]:
        """Admit nothing further, since no request waits."""
        del request_id, now, ok, tokens
        return ()

    def hedge_delay(
        self, request: base.RequestView, now: float
    ) -> float | None:
        """Never hedge."""
        del request, now
        return None

    def allow_retry(self, request: base.RequestView, now: float) -> bool:
        """Always retry."""
        del request, now
        return True


def make(node: str) -> admissions.Admission:
    """Return an admission without limits."""
    return OpenAdmission(node=node, limits={})
