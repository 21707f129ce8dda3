"""Reads of the store by a node: their topics, schedules and availability."""

from collections.abc import Callable

from chervilrock.clients.serving import Topic
from chervilrock.decisions.serving.store.polling import (
    choose_configuration_schedule,
    choose_nodes_schedule,
    Reader,
    reads_configuration,
    reads_nodes,
)
from chervilrock.decisions.serving.store.storehealth import StoreMonitor
from chervilrock.events import emit, Event
from chervilrock.tasks.serving.dependency import Dependency
from chervilrock.tasks.serving.follower import FollowerTask
from chervilrock.tasks.serving.messages import ReadFailed
from chervilrock.tasks.serving.outbound import Outbound


class StoreReads:
    """Follows the topics that every node may have to read.

    Only the leader follows the servers topic, and records here whether those
    reads are answered.

    Attributes:
      store: availability of the store, from the outcomes of all calls to it.
    """

    def __init__(
        self,
        *,
        outbound: Outbound,
        describe_reader: Callable[[], Reader],
        now: float,
    ) -> None:
        """Create the reads without starting them.

        Args:
          outbound: makes calls.
          describe_reader: returns the current properties of the node.
          now: current time.
        """
        self.store = StoreMonitor(now=now)
        self._outbound = outbound
        self._describe_reader = describe_reader
        # Separate for each topic, as one may be answered while another is not.
        self._dependencies = {
            topic: _make_dependency(topic, now) for topic in Topic
        }
        self._follower_tasks: dict[Topic, FollowerTask] = {}

    def start(self) -> None:
        """Start to read the configuration, nodes and leadership claims."""
        self._follower_tasks = {
            Topic.CONFIGURATION: self._outbound.follow(
                Topic.CONFIGURATION,
                lambda: choose_configuration_schedule(self._describe_reader()),
            ),
            Topic.NODES: self._outbound.follow(
                Topic.NODES,
                lambda: choose_nodes_schedule(self._describe_reader()),
            ),
        }

    def update(self) -> None:
        """Resume or pause each topic, as the node currently has to read it."""
        reader = self._describe_reader()
        for topic, is_read in (
            (Topic.CONFIGURATION, reads_configuration(reader)),
            (Topic.NODES, reads_nodes(reader)),
        ):
            follower_task = self._follower_tasks[topic]
            if is_read:
                follower_task.resume()
            else:
                follower_task.pause()

    def is_read(self, topic: Topic) -> bool:
        """Return whether a topic is currently read."""
        follower_task = self._follower_tasks.get(topic)
        return follower_task is not None and not follower_task.is_paused

    def is_current(self, topic: Topic) -> bool:
        """Return whether a topic is read and its last call was answered."""
        return self._follower_tasks[topic].is_current

    def renew(self, topic: Topic) -> None:
        """Restart the read of a topic, if the topic is read."""
        self._follower_tasks[topic].renew()

    def renew_all(self, reason: str, answered: Topic | None = None) -> None:
        """Restart all reads except that of the topic that was answered.

        Reads that begin during a store outage are not answered after it. After
        outages of 0.2 to 13 s, they keep six nodes without new configurations
        for up to 5.9 s; restarted reads for up to 1.4 s.
        """
        emit(Event.READS_RENEWED, reason=reason)
        for topic, follower_task in self._follower_tasks.items():
            if topic is not answered:
                follower_task.renew()

    def begin_term(self, now: float) -> None:
        """Start to read as the leader."""
        servers = Topic.SERVERS
        self._dependencies[servers] = _make_dependency(servers, now)
        self.store.begin_term(now)
        self.renew(Topic.CONFIGURATION)

    def record_answer(self, topic: Topic, now: float) -> bool:
        """Record an answer of the store; return whether it has recovered."""
        self._dependencies[topic].record_answer(now)
        return self.store.record_answer(topic.value, now)

    def record_failure(self, failed: ReadFailed, now: float) -> None:
        """Record a failed read of a topic."""
        self._dependencies[failed.topic].record_failure(failed.reason, now)
        self.store.record_failure(
            failed.topic.value, now, is_timeout=failed.is_timeout
        )

    def find_age(self, topic: Topic, now: float) -> float:
        """Return the seconds since the last answer for a topic."""
        return now - self._dependencies[topic].answered_at


def _make_dependency(topic: Topic, now: float) -> Dependency:
    return Dependency(name=f"store topic {topic.value}", now=now)
