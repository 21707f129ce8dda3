"""Hosts that a group has released and that are not free yet.

The view may mark such hosts itself. Otherwise a host that has just left a
group is expected to become free for as long as a release takes. After that
time it may be in quarantine.
"""

from chervilrock.decisions.actions import HostView, PlanInput

_MAX_RELEASE_S = 30.0


class ReleaseHistory:
    """Times at which hosts left their groups."""

    def __init__(self) -> None:
        self._owned: set[str] = set()
        self._left_at: dict[str, float] = {}

    def mark_releasing(self, view: PlanInput, now: float) -> PlanInput:
        """Returns the view with the hosts marked that are being released.

        Args:
          view: the next view of the region.
          now: current time in seconds.
        """
        owned = {name for group in view.groups for name in group.hosts}
        for name in self._owned - owned:
            self._left_at[name] = now
        for name in owned:
            self._left_at.pop(name, None)
        self._owned = owned
        hosts = tuple(
            host._replace(releasing=True)
            if self._is_releasing(host, now)
            else host
            for host in view.hosts
        )
        return view._replace(hosts=hosts)

    def _is_releasing(self, host: HostView, now: float) -> bool:
        left_at = self._left_at.get(host.host)
        if left_at is None or host.free:
            return False
        return now < left_at + _MAX_RELEASE_S
