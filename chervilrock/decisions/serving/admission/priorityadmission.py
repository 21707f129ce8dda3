"""Which requests may take a free slot when priorities compete across nodes.

Load pattern: requests of several priorities compete for the slots of one model
or plain service at many nodes, and most queues hold one or two requests. An
order within each queue is then hardly an order at all: the last free slot goes
to whichever request arrives next. So nodes report how many requests wait by
priority, the leader announces the sums, and a less urgent request takes a free
slot only while more slots are free than more urgent requests wait.

The sums are counts of a moment some tenths of a second ago. A request that can
be on time waits for less than that, so the sums say how many more urgent
requests are waiting at any moment, not which ones. All state consists of counts
and rates by model or service and priority.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
import math
from typing import NamedTuple

import xxhash

from chervilrock.decisions.serving.admission.lateness import Timeliness
from chervilrock.decisions.serving.admission.waiting import REPAIR_S
from chervilrock.decisions.serving.site import SiteConfiguration

WaitingCounts = Mapping[str, Mapping[int, int]]
"""Waiting requests by model or plain service and by priority: those that can
still be on time, and interrupted streams, which count as most urgent."""

MAX_SUMS_AGE_S = 1.0
"""Age after which sums are too old to decide by; a node then goes by its own
queue alone."""

HOLD_S = 1.0
"""Time for which the greatest recent sum counts. Urgent requests wait for less
than the time between two sums; if the last sum alone counted, one without
waiting requests would let less urgent ones fill all slots until the next."""

STARVATION_S = 1.5
STARVATION_RATIO = 0.35
"""Requests of a priority that has got no slots for this time, in seconds, are
treated as most urgent ones in this proportion. Over 10 s the priority is then
served 0.8 x 0.35 = 0.28 times as often as the most urgent one, and at least a
quarter is required."""

RESERVE_DEVIATIONS = 1.5
"""Free slots of each group that less urgent requests leave for more urgent ones
that have arrived since the loads were counted, in standard deviations of their
number. As many slots become free on average as are taken, so that only the
variation needs slots; without them, a group that is full by then delays urgent
requests, which cannot move to another one."""

FULL_RESERVE_DELAYED_RATIO = 0.1
"""Proportion of the more urgent requests that are late although they were sent
in time from which the whole reserve is kept; in proportion below it. A few
nodes know most of the load themselves, so that the reserve would only delay
less urgent requests."""

SUMS_AGE_INTERVALS = 2.5
"""Usual age of the loads that nodes know, in times between two sums: a relay
adds one, and half of one passes until the next."""

RATE_TIME_CONSTANT_S = 1.0
"""Time constant of the rates of arrival, in seconds."""

MIN_KEPT_WAITING = 2
"""Most urgent requests that wait at a node before others are shed there."""

KEPT_EXCESS_RATIO = 0.2
"""Proportion of the arriving requests beyond the capacity that still waits.
Without waiting requests the slots that become free at a node stay unused until
the next sums."""

SHED_TIME_CONSTANT_S = 0.5
SHED_DECAY_S = 2.0
"""Time constants, in seconds, with which the proportion of shed requests rises
and falls. Both are well below the 11 s of a usual wave, and the rise is longer
than the age of most sums, so that the proportion follows a wave without
overshooting."""

MAX_SHED_RATIO = 0.9
"""Greatest proportion of most urgent requests that is shed."""

SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in a mean of recent ones."""

_HASH_RANGE = 2.0**64


def find_priorities(
    configuration: SiteConfiguration,
) -> dict[str, tuple[int, ...]]:
    """Return the priorities of each service that has at least two, sorted.

    Args:
      configuration: configuration in force; the priority of a workspace
        overrides that of a route.
    """
    keys = configuration.keys
    own = set() if keys is None else {one.priority for one in keys.values()}
    overrides = {priority for priority in own if priority is not None}
    found: dict[str, set[int]] = {}
    for route in configuration.routes:
        priorities = set(overrides)
        if keys is None or route.is_public or None in own:
            priorities.add(route.priority)
        for service in route.services:
            found.setdefault(service.service, set()).update(priorities)
    return {
        service: tuple(sorted(priorities))
        for service, priorities in found.items()
        if len(priorities) > 1
    }


def hash_request(purpose: str, workspace: str, request_id: str) -> float:
    """Return a number from 0 to 1 that is fixed for a request and a purpose."""
    text = f"{purpose}\n{workspace}\n{request_id}"
    return xxhash.xxh3_64_intdigest(text.encode()) / _HASH_RANGE


class Candidate(NamedTuple):
    """A request that needs a slot.

    Attributes:
      pool: model, or plain service, whose slots it needs.
      priority: priority of the request, 0 is the highest.
      top: most urgent priority of its service.
      timeliness: whether it has begun, can be on time or is late.
      on_time_s: seconds for which it can wait and still be on time.
      workspace: name of its workspace, empty for none.
      request_id: identifier of the request.
    """

    pool: str
    priority: int
    top: int
    timeliness: Timeliness
    on_time_s: float
    workspace: str
    request_id: str


class SlotDemand(NamedTuple):
    """The part of the free slots of a pool that a node may use.

    Attributes:
      waiting: part that is due to its waiting requests, from 0 to 1.
      rest: part that no waiting request needs, for all nodes together.
    """

    waiting: float
    rest: float


class _Peak(NamedTuple):
    """The greatest recent number of waiting requests, and its time."""

    requests: int
    time: float


class _Pool:
    """What is known of a pool.

    Attributes:
      top: most urgent priority.
      others: waiting requests of other nodes by priority at the last sums.
      peaks: greatest recent number of them by priority.
      arrived: arrivals at this node since the last sums by priority.
      rates: arrivals a second at this node by priority.
      news_s: usual age of the known loads.
      delayed_ratio: proportion of the most urgent requests of this node that
        were late although they were sent in time.
      starved_since: since when a priority has got no slots, by priority.
      endpoints: number of groups or servers.
      senders: nodes that send to the pool.
      blocked_since: since when all free slots were needed by requests more
        urgent than a priority, by that priority.
      demand: part of the free slots for this node, None without sums.
      seen: priorities of the requests that arrived here or waited elsewhere.
      shed_ratio: proportion of the most urgent requests that is shed.
      held_s: mean time for which a request of this node keeps a slot.
      patience_s: mean time that a most urgent request can wait.
    """

    def __init__(self, *, top: int) -> None:
        self.top = top
        self.others: dict[int, int] = {}
        self.peaks: dict[int, _Peak] = {}
        self.arrived: Counter[int] = Counter()
        self.rates: dict[int, float] = {}
        self.news_s = 0.0
        self.delayed_ratio = 0.0
        self.starved_since: dict[int, float] = {}
        self.endpoints = 0
        self.senders = 0
        self.blocked_since: dict[int, float] = {}
        self.demand: SlotDemand | None = None
        self.seen: set[int] = set()
        self.shed_ratio = 0.0
        self.held_s = 0.0
        self.patience_s = 0.0

    def record_seen(self, priorities: Iterable[int]) -> None:
        """Record priorities of requests that need slots of the pool."""
        self.seen.update(priorities)
        self.top = min(self.seen, default=self.top)


class Capacity(NamedTuple):
    """Slots of a pool, as a node knows them.

    Attributes:
      slots: all slots.
      free: slots that are free, less the requests that wait at full groups.
      endpoints: number of groups or servers.
    """

    slots: int
    free: int
    endpoints: int = 0


class PriorityAdmission:
    """Admits requests to free slots by priority across all nodes."""

    def __init__(self) -> None:
        """Create a state for a service without priorities and without sums."""
        self._priorities: Mapping[str, tuple[int, ...]] = {}
        self._pools: dict[str, _Pool] = {}
        self._recorded_at = -math.inf

    def configure(self, configuration: SiteConfiguration) -> None:
        """Apply a configuration, and drop what is known of former pools."""
        self._priorities = find_priorities(configuration)
        self._pools.clear()
        for service, priorities in self._priorities.items():
            entry = configuration.services.get(service)
            engine = None if entry is None else entry.engine
            for pool in (service,) if engine is None else engine.models:
                self._pools[pool] = _Pool(top=priorities[0])

    def find_top(self, service: str) -> int | None:
        """Return the most urgent of the priorities of a service.

        None if it has only one, so that this module decides nothing for it.
        """
        priorities = self._priorities.get(service)
        return None if priorities is None else priorities[0]

    def list_pools(self) -> tuple[str, ...]:
        """Return the models and plain services with several priorities."""
        return tuple(self._pools)

    def has_sums(self, now: float) -> bool:
        """Return whether the last sums are recent enough to decide by."""
        return now - self._recorded_at <= MAX_SUMS_AGE_S

    def record_sums(
        self,
        total: WaitingCounts,
        included: WaitingCounts,
        own: WaitingCounts,
        capacities: Mapping[str, Capacity],
        *,
        senders: int,
        now: float,
    ) -> None:
        """Record how many requests wait at all nodes.

        Args:
          total: the announced sums.
          included: requests of this node that are in the sums.
          own: requests that wait at this node now.
          capacities: slots by pool.
          senders: nodes that send requests.
          now: current time.
        """
        elapsed_s = min(MAX_SUMS_AGE_S, now - self._recorded_at)
        self._recorded_at = now
        for name, pool in self._pools.items():
            announced = total.get(name, {})
            former = included.get(name, {})
            pool.others = {
                priority: max(0, count - former.get(priority, 0))
                for priority, count in announced.items()
            }
            for priority in {*pool.peaks, *pool.others}:
                count = pool.others.get(priority, 0)
                peak = pool.peaks.get(priority)
                is_past = peak is None or now - peak.time > HOLD_S
                if peak is None or is_past or count >= peak.requests:
                    pool.peaks[priority] = _Peak(count, now)
            pool.record_seen(
                priority for priority, count in announced.items() if count
            )
            pool.senders = senders
            pool.news_s = SUMS_AGE_INTERVALS * elapsed_s
            _update_rates(pool, elapsed_s)
            mine = own.get(name, {})
            capacity = capacities.get(name, Capacity(0, 0))
            pool.endpoints = capacity.endpoints
            pool.demand = _find_demand(pool.others, mine, capacity.free)
            self._update_blocked(pool, mine, capacity, now)
            _update_shed_ratio(pool, mine, capacity, elapsed_s)

    def _update_blocked(
        self,
        pool: _Pool,
        own: Mapping[int, int],
        capacity: Capacity,
        now: float,
    ) -> None:
        """Record for which priorities no slot is left."""
        known = {one for each in self._priorities.values() for one in each}
        for priority in known:
            ahead = _count_waiting(pool, priority, own, is_summed=True)
            _update_since(
                pool.blocked_since,
                priority,
                now,
                is_true=0 < ahead >= capacity.free,
            )
            needed = ahead + _find_reserve(pool, priority)
            _update_since(
                pool.starved_since,
                priority,
                now,
                is_true=0 < needed >= capacity.free,
            )

    def find_demand(self, name: str, now: float) -> SlotDemand | None:
        """Return the part of the free slots that this node may use.

        None where the slots are shared out by node alone.
        """
        pool = self._pools.get(name)
        if pool is None or not self.has_sums(now):
            return None
        return pool.demand

    def find_blocked_s(self, name: str, priority: int, now: float) -> float:
        """Return for how long more urgent requests have needed all slots."""
        pool = self._pools.get(name)
        if pool is None or not self.has_sums(now):
            return 0.0
        return now - pool.blocked_since.get(priority, now)

    def list_blocked(self, now: float) -> dict[str, tuple[int, ...]]:
        """Return the priorities that get no slots, by pool.

        A pool is listed from `HOLD_S` after the block began, so that short
        waves are left out.
        """
        if not self.has_sums(now):
            return {}
        return {
            name: blocked
            for name, pool in self._pools.items()
            if (
                blocked := tuple(
                    priority
                    for priority, since in sorted(pool.blocked_since.items())
                    if now - since >= HOLD_S
                )
            )
        }

    def find_shed_ratio(self, name: str, now: float) -> float:
        """Return the proportion of the most urgent requests that is shed."""
        pool = self._pools.get(name)
        if pool is None or not self.has_sums(now):
            return 0.0
        return pool.shed_ratio

    def find_priority(self, request: Candidate, now: float) -> int:
        """Return the priority by which a request is admitted.

        Interrupted streams are most urgent, and so is a part of the requests
        of a priority that has got no slots for `STARVATION_S`.
        """
        if request.timeliness is Timeliness.BEGUN:
            return request.top
        pool = self._pools.get(request.pool)
        if pool is None or not self.has_sums(now):
            return request.priority
        if now - pool.starved_since.get(request.priority, now) < STARVATION_S:
            return request.priority
        draw = hash_request("raise", request.workspace, request.request_id)
        return request.top if draw < STARVATION_RATIO else request.priority

    def may_take(
        self,
        request: Candidate,
        own: Mapping[int, int],
        count_free: Callable[[], int],
        now: float,
    ) -> bool:
        """Return whether a request may take a free slot.

        Requests that can be on time leave the slots that more urgent ones wait
        for; late requests those that any request waits for that can be on time.

        Args:
          request: the request.
          own: requests that wait at this node, by priority.
          count_free: returns how many slots are free.
          now: current time.
        """
        pool = self._pools.get(request.pool)
        if pool is None or request.timeliness is Timeliness.BEGUN:
            return True
        limit: float = math.inf
        if request.timeliness is Timeliness.ON_TIME:
            limit = self.find_priority(request, now)
        is_summed = self.has_sums(now)
        ahead = float(_count_waiting(pool, limit, own, is_summed=is_summed))
        if is_summed:
            ahead += _find_reserve(pool, limit)
        return not ahead or count_free() > ahead

    def find_hopeless_s(
        self, request: Candidate, own: Mapping[int, int], now: float
    ) -> float:
        """Return for how long requests like this one have got no slot.

        It is 0 for a request that may get one in time. A less urgent one cannot
        expect that if its priority has got no slot for as long as it could
        wait, unless it is treated as a most urgent one.

        Args:
          request: request that finds no free slot.
          own: requests that wait at this node, by priority.
          now: current time.
        """
        priority = self.find_priority(request, now)
        if priority == request.top:
            is_shed = self._is_shed(request, now)
            # The next slot must find a request that can use it.
            has_others = own.get(request.top, 0) >= MIN_KEPT_WAITING
            return SHED_TIME_CONSTANT_S if is_shed and has_others else 0.0
        blocked_s = self.find_blocked_s(request.pool, priority, now)
        is_on_time = request.timeliness is Timeliness.ON_TIME
        wait_s = request.on_time_s if is_on_time else REPAIR_S
        return blocked_s if blocked_s >= wait_s else 0.0

    def _is_shed(self, request: Candidate, now: float) -> bool:
        """Return whether a most urgent request without a slot is rejected.

        The selection depends on the workspace and the request alone, so that
        all nodes reject the same part of the requests of each workspace.
        """
        pool = self._pools.get(request.pool)
        if pool is None or request.timeliness is not Timeliness.ON_TIME:
            return False
        pool.patience_s = _update_mean(pool.patience_s, request.on_time_s)
        draw = hash_request("shed", request.workspace, request.request_id)
        return draw < self.find_shed_ratio(request.pool, now)

    def record_arrival(self, name: str, priority: int) -> None:
        """Record that a request has arrived at this node."""
        pool = self._pools.get(name)
        if pool is not None:
            pool.arrived[priority] += 1
            pool.record_seen((priority,))

    def find_pool_top(self, name: str) -> int:
        """Return the most urgent priority of the requests of a pool."""
        pool = self._pools.get(name)
        return 0 if pool is None else pool.top

    def has_competition(self, name: str) -> bool:
        """Return whether requests of several priorities need a pool's slots.

        Models of one service may each serve requests of a single priority.
        """
        pool = self._pools.get(name)
        return pool is not None and len(pool.seen) > 1

    def record_first_event(
        self, name: str, priority: int, *, is_late: bool
    ) -> None:
        """Record the first event of a request that was sent in time."""
        pool = self._pools.get(name)
        if pool is not None and priority == pool.top:
            change = is_late - pool.delayed_ratio
            pool.delayed_ratio += SAMPLE_WEIGHT * change

    def record_held(self, name: str, seconds: float) -> None:
        """Record for how long a request of this node kept a slot."""
        pool = self._pools.get(name)
        if pool is not None:
            pool.held_s = _update_mean(pool.held_s, seconds)

    def describe(self, now: float) -> dict[str, dict[str, object]]:
        """Return the state of each pool for a dump."""
        return {
            name: {
                "waiting_elsewhere": dict(pool.others),
                "blocked_s": {
                    priority: round(now - since, 3)
                    for priority, since in pool.blocked_since.items()
                },
                "shed_ratio": round(self.find_shed_ratio(name, now), 3),
            }
            for name, pool in self._pools.items()
        }


def _count_waiting(
    pool: _Pool, limit: float, own: Mapping[int, int], *, is_summed: bool
) -> int:
    """Return how many requests more urgent than a limit wait.

    Args:
      pool: the pool with the requests of other nodes.
      limit: priority, or infinity for all requests.
      own: requests that wait at this node, by priority.
      is_summed: whether those of other nodes are known.
    """
    waiting = sum(count for priority, count in own.items() if priority < limit)
    if is_summed:
        waiting += sum(
            peak.requests
            for priority, peak in pool.peaks.items()
            if priority < limit
        )
    return waiting


def _find_reserve(pool: _Pool, limit: float) -> float:
    """Return the slots that are kept for arriving requests before a limit.

    It is the variation at one endpoint times the number of endpoints.
    """
    per_s = sum(
        rate for priority, rate in pool.rates.items() if priority < limit
    )
    arrived = per_s * pool.senders * pool.news_s
    part = min(1.0, pool.delayed_ratio / FULL_RESERVE_DELAYED_RATIO)
    return part * RESERVE_DEVIATIONS * math.sqrt(arrived * pool.endpoints)


def _update_since(
    since: dict[int, float], priority: int, now: float, *, is_true: bool
) -> None:
    """Keep since when a condition has held for a priority."""
    if is_true:
        since.setdefault(priority, now)
    else:
        since.pop(priority, None)


def _find_demand(
    others: Mapping[int, int], own: Mapping[int, int], free: int
) -> SlotDemand | None:
    """Return which part of the free slots this node may use.

    The slots go to the waiting requests by priority; those of one priority
    that do not all get one share what is left.
    """
    if free <= 0:
        return None
    left = float(free)
    due = 0.0
    for priority in sorted({*others, *own}):
        mine = own.get(priority, 0)
        waiting = mine + others.get(priority, 0)
        if waiting:
            taken = min(left, waiting)
            due += taken * mine / waiting
            left -= taken
    return SlotDemand(due / free, left / free)


def _update_rates(pool: _Pool, elapsed_s: float) -> None:
    """Update the rates of arrival with the arrivals since the last sums."""
    weight = 1.0 - math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
    for priority in {*pool.rates, *pool.arrived}:
        sample = pool.arrived[priority] / elapsed_s if elapsed_s else 0.0
        known = pool.rates.get(priority, 0.0)
        pool.rates[priority] = known + weight * (sample - known)
    pool.arrived.clear()


def _update_shed_ratio(
    pool: _Pool,
    own: Mapping[int, int],
    capacity: Capacity,
    elapsed_s: float,
) -> None:
    """Adapt the proportion of the most urgent requests that is shed.

    Of the requests that wait, most get no slot before they are late: waiting
    requests / time that they can wait is the rate that exceeds the capacity.
    """
    pool.shed_ratio *= math.exp(-elapsed_s / SHED_DECAY_S)
    waiting = pool.others.get(pool.top, 0) + own.get(pool.top, 0)
    if waiting <= capacity.free or not pool.held_s or not pool.patience_s:
        return
    excess_per_s = waiting / pool.patience_s
    capacity_per_s = capacity.slots / pool.held_s
    excess_ratio = excess_per_s / (excess_per_s + capacity_per_s)
    excess_ratio = max(0.0, excess_ratio - KEPT_EXCESS_RATIO)
    step = min(1.0, elapsed_s / SHED_TIME_CONSTANT_S)
    ratio = pool.shed_ratio + (1.0 - pool.shed_ratio) * excess_ratio * step
    pool.shed_ratio = min(MAX_SHED_RATIO, ratio)


def _update_mean(known: float, sample: float) -> float:
    """Return the mean of recent samples, 0 before the first."""
    sample = max(1e-3, sample)
    return known + SAMPLE_WEIGHT * (sample - known) if known else sample
