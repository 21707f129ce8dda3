"""Log events and metrics of outages of the log service."""

from chervilrock import events
from chervilrock.metrics import Metrics


class OutageLog:
    """Logs the start and the end of outages and counts their seconds."""

    def __init__(self, *, metrics: Metrics) -> None:
        """Create a log in which every stream is readable."""
        self._metrics = metrics
        self._since: dict[str, float] = {}
        self._counted: dict[str, float] = {}

    def has_outage(self, stream: str) -> bool:
        """Return whether the last read of a stream failed."""
        return stream in self._since

    def record_failure(self, stream: str, reason: str, now: float) -> None:
        """Record that a read failed at `now`."""
        if stream not in self._since:
            self._since[stream] = now
            events.emit(
                events.Event.LOG_OUTAGE_BEGAN, stream=stream, reason=reason
            )
        self._count(stream, now)

    def record_success(self, stream: str, now: float) -> None:
        """Record that a read succeeded at `now`."""
        since = self._since.pop(stream, None)
        if since is None:
            return
        self._since[stream] = since
        self._count(stream, now)
        del self._since[stream]
        del self._counted[stream]
        events.emit(
            events.Event.LOG_OUTAGE_ENDED,
            stream=stream,
            seconds=round(now - since, 3),
        )

    def _count(self, stream: str, now: float) -> None:
        last = self._counted.get(stream, self._since[stream])
        self._metrics.log_outage_seconds.inc(max(0.0, now - last))
        self._counted[stream] = now
