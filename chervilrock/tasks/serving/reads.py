"""What a node reads of the store, how often, and whether it is answered."""

from collections.abc import Callable

from chervilrock.clients.serving import Topic
from chervilrock.decisions.serving.paces import (
    choose_configuration_pace,
    choose_nodes_pace,
    Reader,
    reads_configuration,
    reads_nodes,
)
from chervilrock.decisions.serving.storewatch import StoreWatch
from chervilrock.events import emit, Event
from chervilrock.tasks.serving.dependency import Dependency
from chervilrock.tasks.serving.follower import Following
from chervilrock.tasks.serving.messages import ReadFailed
from chervilrock.tasks.serving.outbound import Outbound


class StoreReads:
    """Follows the topics that every node may have to read.

    The servers are followed by the leader alone, which tells here whether its
    reads are answered.

    Attributes:
      store: what the ends of all calls to the store come to.
    """

    def __init__(
        self,
        *,
        outbound: Outbound,
        describe_reader: Callable[[], Reader],
        now: float,
    ) -> None:
        """Read nothing before `start`.

        Args:
          outbound: makes calls.
          describe_reader: returns what the node is at present.
          now: present time.
        """
        self.store = StoreWatch(now=now)
        self._outbound = outbound
        self._describe_reader = describe_reader
        # By topic, since one may be answered while another one is not.
        self._dependencies = {
            topic: _make_dependency(topic, now) for topic in Topic
        }
        self._followings: dict[Topic, Following] = {}

    def start(self) -> None:
        """Begin to read the configuration, nodes and leaders."""
        self._followings = {
            Topic.CONFIGURATION: self._outbound.follow(
                Topic.CONFIGURATION,
                lambda: choose_configuration_pace(self._describe_reader()),
            ),
            Topic.NODES: self._outbound.follow(
                Topic.NODES,
                lambda: choose_nodes_pace(self._describe_reader()),
            ),
        }

    def choose(self) -> None:
        """Read those topics that the node has to read by itself now."""
        reader = self._describe_reader()
        for topic, is_read in (
            (Topic.CONFIGURATION, reads_configuration(reader)),
            (Topic.NODES, reads_nodes(reader)),
        ):
            following = self._followings[topic]
            if is_read:
                following.resume()
            else:
                following.pause()

    def is_read(self, topic: Topic) -> bool:
        """Tell whether a topic is read now."""
        following = self._followings.get(topic)
        return following is not None and not following.is_paused

    def is_current(self, topic: Topic) -> bool:
        """Tell whether a topic is read, and its last call was answered."""
        return self._followings[topic].is_current

    def renew(self, topic: Topic) -> None:
        """Begin the read of a topic anew, if it is read."""
        self._followings[topic].renew()

    def renew_all(self, reason: str, answered: Topic | None = None) -> None:
        """Begin all reads anew but that of the topic that was answered.

        After silences of 0.2 to 13 s, reads that had been begun in them kept
        six nodes without configurations for 5.9 s at the worst; begun anew,
        for 1.4 s.
        """
        emit(Event.READS_RENEWED, reason=reason)
        for topic, following in self._followings.items():
            if topic is not answered:
                following.renew()

    def begin_term(self, now: float) -> None:
        """Read as the leader from now on."""
        servers = Topic.SERVERS
        self._dependencies[servers] = _make_dependency(servers, now)
        self.store.begin_term(now)
        self.renew(Topic.CONFIGURATION)

    def note_answer(self, topic: Topic, now: float) -> bool:
        """Note an answer of the store; tell whether it is back with it."""
        self._dependencies[topic].note_answer(now)
        return self.store.note_answer(topic.value, now)

    def note_failure(self, failed: ReadFailed, now: float) -> None:
        """Note that a topic could not be read."""
        self._dependencies[failed.topic].note_failure(failed.reason, now)
        self.store.note_failure(
            failed.topic.value, now, is_silent=failed.is_silent
        )

    def find_age(self, topic: Topic, now: float) -> float:
        """Return the seconds since the store answered for a topic."""
        return now - self._dependencies[topic].answered


def _make_dependency(topic: Topic, now: float) -> Dependency:
    return Dependency(name=f"store topic {topic.value}", now=now)
