"""The catalogue of log events; `docs/events.md` explains it to operators."""

import enum
import string
from typing import NamedTuple


class Level(enum.IntEnum):
    """Severity of an event, with the numbers of the standard library."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


class EventSpec(NamedTuple):
    """The fixed properties of an event.

    Attributes:
      number: stable number; it is never reused for another event
      level: severity
      template: a sentence whose placeholders are the fields of the event
    """

    number: int
    level: Level
    template: str


def list_placeholders(template: str) -> list[str]:
    """Returns the names of the placeholders of a template, in order."""
    parts = string.Formatter().parse(template)
    return [name for _, name, _, _ in parts if name]


class Event(enum.Enum):
    """The events, ordered by number.

    The first digit stands for the area: 1 node, 2 log service, 3 configuration,
    4 groups and hosts, 5 requests, 6 peers, 7 serving on the platform,
    9 logging itself.

    The name in log lines is the name of the member in lower case with dashes.
    """

    NODE_STARTED = EventSpec(
        1001, Level.INFO, "node {node} listens on {address}"
    )
    NODE_READY = EventSpec(
        1002,
        Level.INFO,
        "node {node} accepts requests with configuration revision {revision}",
    )
    NODE_LEAVING = EventSpec(
        1003,
        Level.INFO,
        "node {node} is leaving and accepts no new callers; {in_flight} "
        "requests in flight",
    )
    NODE_STOPPED = EventSpec(
        1004,
        Level.INFO,
        "node {node} stopped; {in_flight} requests were aborted",
    )
    SETTING_REFUSED = EventSpec(
        1005, Level.ERROR, "setting {setting}: {reason}"
    )
    TASK_FAILED = EventSpec(1006, Level.ERROR, "task {task} failed: {error}")
    LOG_OUTAGE_BEGAN = EventSpec(
        2001, Level.ERROR, "log stream {stream} cannot be reached: {reason}"
    )
    LOG_OUTAGE_ENDED = EventSpec(
        2002, Level.INFO, "log stream {stream} recovered after {seconds} s"
    )
    LOG_TRIMMED = EventSpec(
        2003,
        Level.WARNING,
        "log stream {stream} was trimmed: it starts at offset {first_offset}; "
        "offset {wanted} was requested",
    )
    SNAPSHOT_WRITTEN = EventSpec(
        2004,
        Level.INFO,
        "snapshot {snapshot} of stream {stream} covers the records up to "
        "offset {upto}",
    )
    CONFIGURATION_IN_FORCE = EventSpec(
        3001,
        Level.INFO,
        "configuration revision {revision} of {operator} is in force",
    )
    CONFIGURATION_LOST = EventSpec(
        3002,
        Level.WARNING,
        "configuration of {operator} rejected: base revision {base_revision} "
        "is outdated; the one in force is from {winner}",
    )
    LEASE_ACQUIRED = EventSpec(
        4001, Level.INFO, "controller lease of {region} acquired, epoch {epoch}"
    )
    LEASE_LOST = EventSpec(
        4002,
        Level.WARNING,
        "controller lease of {region} lost, epoch {epoch}: {reason}",
    )
    LEASE_RELEASED = EventSpec(
        4003, Level.INFO, "controller lease of {region} released, epoch {epoch}"
    )
    GROUP_GRANTED = EventSpec(
        4101,
        Level.INFO,
        "group {group} of model {model} was granted hosts {hosts}, fence "
        "{fence}",
    )
    GROUP_REPAIRED = EventSpec(
        4102,
        Level.WARNING,
        "group {group} repaired, now on hosts {hosts}, fence {fence}",
    )
    GROUP_SERVING = EventSpec(
        4103, Level.INFO, "group {group} serves, fence {fence}"
    )
    GROUP_DRAINING = EventSpec(
        4104, Level.INFO, "group {group} accepts no new requests: {reason}"
    )
    GROUP_DISSOLVED = EventSpec(4105, Level.INFO, "group {group} is dissolved")
    HOST_MISSING = EventSpec(
        4201,
        Level.WARNING,
        "host {host} of group {group} has not been observed for {age_ms} ms",
    )
    HOST_RETURNED = EventSpec(
        4202, Level.INFO, "host {host} of group {group} is present again"
    )
    HOST_QUARANTINED = EventSpec(
        4203,
        Level.WARNING,
        "host {host} is quarantined as it may still hold a shard of fence "
        "{fence}: {reason}",
    )
    HOST_CLEARED = EventSpec(
        4204,
        Level.INFO,
        "host {host} is out of quarantine and holds no shard of fence {fence}",
    )
    ORDER_REFUSED = EventSpec(
        4205,
        Level.WARNING,
        "host {host} rejected an order with fence {fence}; it has seen {seen}",
    )
    REQUEST_UNKNOWN = EventSpec(
        5001,
        Level.WARNING,
        "outcome of request {request_id} to {target} is unknown, it may have "
        "run: {reason}",
    )
    REQUEST_REJECTED = EventSpec(
        5002,
        Level.DEBUG,
        "request {request_id} of workspace {workspace} rejected: {reason}",
    )
    STREAM_BROKEN = EventSpec(
        5003,
        Level.WARNING,
        "stream {request_id} from group {group} broke at position {position}: "
        "{reason}",
    )
    STREAM_RESUMED = EventSpec(
        5004,
        Level.INFO,
        "stream {request_id} resumed on group {group} at position {position}",
    )
    STREAM_CONTINUED = EventSpec(
        5005,
        Level.INFO,
        "stream {request_id} continued on group {group} after position "
        "{position}",
    )
    PEER_LOST = EventSpec(
        6001, Level.WARNING, "peer {node} at {address} does not answer"
    )
    PEER_BACK = EventSpec(
        6002, Level.INFO, "peer {node} at {address} answers again"
    )
    SERVING_STARTED = EventSpec(
        7001,
        Level.INFO,
        "node {node} ({incarnation}) serves callers at {address}, store "
        "{store}",
    )
    SERVING_STOPPING = EventSpec(
        7002,
        Level.INFO,
        "node {node} is stopping within {grace_s} s; {running} requests in "
        "progress",
    )
    SERVING_STOPPED = EventSpec(
        7003,
        Level.INFO,
        "node {node} stopped after {seconds} s, {left_s} s before the end of "
        "its grace period; {cut} requests were aborted",
    )
    SETTINGS_RELOADED = EventSpec(
        7004, Level.INFO, "node {node} was notified of changed settings"
    )
    DEPENDENCY_LOST = EventSpec(
        7005, Level.ERROR, "{dependency} does not answer: {reason}"
    )
    DEPENDENCY_REGAINED = EventSpec(
        7006, Level.INFO, "{dependency} answers again after {seconds} s"
    )
    NODE_REGISTERED = EventSpec(
        7007,
        Level.INFO,
        "node {node} is registered with the record at offset {offset}",
    )
    READS_RENEWED = EventSpec(
        7008, Level.INFO, "restarting reads of the store: {reason}"
    )
    STORE_RESTORED = EventSpec(
        7009,
        Level.WARNING,
        "the store was restored from a backup: era {era} after {former}; "
        "nodes read everything again and rewrite lost records",
    )
    NODE_STOOD_STILL = EventSpec(
        7010,
        Level.INFO,
        "this node stood still for {duration_ms} ms with {running} requests in "
        "progress; the time does not count as silence of groups",
    )
    CALL_SENT_AGAIN = EventSpec(
        7011,
        Level.INFO,
        "a call to {url} was sent again as its kept connection was closed; it "
        "ended after {seconds} s",
    )
    FAULT_SURVIVED = EventSpec(
        7012,
        Level.ERROR,
        "an error in the handling of {work} {name}: {error} in {place}; this "
        "node goes on without it",
    )
    REVISION_IN_FORCE = EventSpec(
        7101,
        Level.INFO,
        "revision {revision} from {source} in force: {routes} routes, "
        "{keys} keys",
    )
    CONFIGURATION_UNREADABLE = EventSpec(
        7102, Level.ERROR, "configuration from {source} unreadable: {reason}"
    )
    RECORD_UNREADABLE = EventSpec(
        7103,
        Level.WARNING,
        "record {key} of topic {topic} of the store unreadable: {reason}",
    )
    VIEW_IN_FORCE = EventSpec(
        7104,
        Level.INFO,
        "view {term}.{sequence} in force: {groups} groups, {servers} servers",
    )
    LEADER_CHANGED = EventSpec(
        7201, Level.INFO, "{leader} leads in term {term} (this node: {own})"
    )
    LEADER_STEPPED_DOWN = EventSpec(
        7202,
        Level.WARNING,
        "this node stepped down as leader, term {term}: {reason}",
    )
    NODE_SEEN = EventSpec(7203, Level.INFO, "node {node} answers announcements")
    PEER_UNREACHABLE = EventSpec(
        7204, Level.WARNING, "{address} cannot be reached: {reason}"
    )
    RELAY_CHOSEN = EventSpec(
        7205,
        Level.INFO,
        "node {node} is chosen as a relay for the nodes of data centre "
        "{data_centre}",
    )
    LEADER_PROBED = EventSpec(
        7206,
        Level.WARNING,
        "leader {leader} of term {term}, found at the start of this node, does "
        "not answer and is {finding}: {answers} of {asked} nodes stated "
        "whether they have contact with it",
    )
    GROUP_CHANGED = EventSpec(
        7301, Level.INFO, "group {group} of {members}: {step} ({reason})"
    )
    ORDER_ANSWERED = EventSpec(
        7302,
        Level.INFO,
        "server {server}, {order} order for group {group}, epoch {epoch}: "
        "{outcome}",
    )
    SERVER_GONE = EventSpec(
        7303,
        Level.INFO,
        "server {server} removed: its entry is gone from the store; held back "
        "for {held_s} s",
    )
    GROUP_SILENT = EventSpec(
        7304,
        Level.WARNING,
        "group {group} at {server} has stalled, no event within {limit_ms} "
        "ms: {moved} of {streams} streams continue at other groups",
    )
    STAGING_ANSWERED = EventSpec(
        7305,
        Level.INFO,
        "server {server}, order to stage model {model}: {outcome}",
    )
    HOSTS_COUNTED = EventSpec(
        7306,
        Level.INFO,
        "model {model} of {service}: {groups} groups of {needed} needed "
        "(short of capacity: {is_short}); hosts {hosts}; by data centre "
        "{places}",
    )
    GROUP_FAILING = EventSpec(
        7307,
        Level.WARNING,
        "group {group} failed a request and is avoided for {avoided_ms} ms",
    )
    LIMIT_NAMED = EventSpec(
        7308,
        Level.WARNING,
        "server {server} states a limit of {rate} requests per second from "
        "all nodes together",
    )
    LIMIT_ENDED = EventSpec(
        7309, Level.INFO, "server {server} no longer states a limit"
    )
    LIMIT_UNREADABLE = EventSpec(
        7310,
        Level.WARNING,
        "server {server} states the limit {value}, which is not a number and "
        "is ignored",
    )
    LIMIT_TOLD = EventSpec(
        7311,
        Level.INFO,
        "the leader announces the limit {rate} of server {server} to all nodes",
    )
    PAUSE_STATED = EventSpec(
        7312,
        Level.INFO,
        "server {server} rejected request {request_id} and wants no requests "
        "of this node for {seconds} s; its pause ends in {ends_in_s} s",
    )
    PAUSE_UNREADABLE = EventSpec(
        7313,
        Level.WARNING,
        "server {server} rejected request {request_id} and states the pause "
        "{value}, which is no time and is ignored",
    )
    DEPARTURE_STATED = EventSpec(
        7314,
        Level.INFO,
        "server {server} says in its answer to request {request_id} that it "
        "leaves",
    )
    DEPARTURE_UNREADABLE = EventSpec(
        7315,
        Level.WARNING,
        "server {server} states in its answer to request {request_id} whether "
        "it leaves as {value}, which is ignored",
    )
    DEPARTURE_TOLD = EventSpec(
        7316,
        Level.INFO,
        "a node reports to the leader that server {server} says that it leaves",
    )
    SERVER_RESTARTED = EventSpec(
        7317,
        Level.INFO,
        "server {server} has started again under its identifier; this node "
        "forgets what it stated before",
    )
    SERVERS_ABSENT = EventSpec(
        7318,
        Level.WARNING,
        "a snapshot of the store, read up to offset {offset}, has entries of "
        "{after} of {before} known servers; without an entry: {servers}",
    )
    WARMUP_BEGUN = EventSpec(
        7330,
        Level.INFO,
        "server {server} warms up and gets at most {rate} requests per second, "
        "from nodes {senders}",
    )
    WARMUP_ENDED = EventSpec(
        7331, Level.INFO, "server {server} does not warm up any more"
    )
    WARMUP_UNREADABLE = EventSpec(
        7332,
        Level.WARNING,
        "the entry of server {server} states for how long it warms up as "
        "{value}, which is ignored",
    )
    CONFIGURATION_FIELD_IGNORED = EventSpec(
        7333,
        Level.WARNING,
        "field {field} of the configuration is {value}, which is not a number "
        "of 0 or more and is ignored",
    )
    EVACUATION_BEGUN = EventSpec(
        7334,
        Level.WARNING,
        "data centre {data_centre} is evacuated, version {version} from "
        "{source}",
    )
    EVACUATION_ENDED = EventSpec(
        7335,
        Level.INFO,
        "data centre {data_centre} is no longer evacuated, version {version} "
        "from {source}",
    )
    EVACUATION_UNREADABLE = EventSpec(
        7336,
        Level.WARNING,
        "record {key} of the store evacuates no data centre: {reason}",
    )
    SERVERS_LOST = EventSpec(
        7337,
        Level.WARNING,
        "this node reaches no server: none of {probed} answered a probe, the "
        "last answer came {answered_ms} ms ago, the last send or probe that "
        "was answered began {reached_ms} ms ago and the first failed round of "
        "probes {probing_ms} ms ago, {running} requests were sent",
    )
    SERVERS_REACHED = EventSpec(
        7338,
        Level.WARNING,
        "this node reaches servers again, {seconds} s after it found that it "
        "reached none",
    )
    CONFIGURATION_FIELD_BOUNDED = EventSpec(
        7339,
        Level.WARNING,
        "field {field} of the configuration is {value}, which is out of "
        "bounds; {used} is used",
    )
    REQUEST_SENT = EventSpec(
        7401,
        Level.INFO,
        "request {request_id} on {route} sent to {endpoint} ({server}) after "
        "event {after}; load there: {own} from this node, {others} from "
        "others; view {view}, {view_age_ms} ms old",
    )
    REQUEST_SENT_AGAIN = EventSpec(
        7402,
        Level.INFO,
        "request {request_id} is retried after {sends} sends and event "
        "{after}: {reason}; {left} retries to its service are left to this "
        "node, one of {nodes} nodes",
    )
    REQUEST_ENDED = EventSpec(
        7403,
        Level.INFO,
        "request {request_id} on {route} of workspace {workspace} ended with "
        "status {status} after {total_ms} ms ({reason}): {sends} sends, "
        "waited {waited_ms} ms, first event after {first_event_ms} ms, last "
        "event {after}, cut: {cut}, {left_ms} ms left, revision {revision}; "
        "last answer: head {head}, framing {framing}, {body_bytes} bytes",
    )
    SEND_BROKEN = EventSpec(
        7404,
        Level.INFO,
        "the connection of request {request_id} with content {content} and "
        "prompt parts {parts} to server {server} broke {ran_ms} ms after the "
        "start of the response with status {status}: {error}",
    )
    SERVER_ENDED = EventSpec(
        7405,
        Level.INFO,
        "server {server} crashed while processing content {content}, "
        "{served_ms} ms after the start of its response, {sent_ms} ms after "
        "the send",
    )
    CONTENT_WITHHELD = EventSpec(
        7406,
        Level.WARNING,
        "requests with {content} (and with all of: {requires}) are withheld: "
        "servers {servers} crashed while processing such requests, as "
        "observed by nodes {nodes}",
    )
    CONTENT_RELEASED = EventSpec(
        7407,
        Level.INFO,
        "requests with {content} are no longer withheld",
    )
    REQUEST_WITHHELD = EventSpec(
        7408,
        Level.INFO,
        "request {request_id} is withheld because of {content}: servers "
        "{servers} crashed while processing such requests, as observed by "
        "nodes {nodes}",
    )
    REPEAT_REFUSED = EventSpec(
        7409,
        Level.INFO,
        "request {request_id} is not retried ({reason}): {left} retries to "
        "{service} are left to this node, one of {nodes} nodes",
    )
    SEND_HELD = EventSpec(
        7410,
        Level.INFO,
        "request {request_id} is not sent to server {server}, which pauses, "
        "leaves or warms up since it was chosen",
    )
    ANSWERS_PAUSED = EventSpec(
        7411,
        Level.WARNING,
        "callers leave {unread} bytes of answers unread, {collected} bytes are "
        "not complete yet, and bodies take {bodies} bytes of a budget of "
        "{budget}: {paused} answers are paused",
    )
    ANSWER_ENDED = EventSpec(
        7412,
        Level.WARNING,
        "the answer to request {request_id}, of which {size} bytes are held, "
        "was ended, as the memory for callers was used up",
    )
    BODY_REJECTED = EventSpec(
        7413,
        Level.WARNING,
        "request {request_id} is rejected after {received} bytes of its body, "
        "which does not fit: bodies take {bodies} bytes, and callers leave "
        "{unread} bytes of answers unread",
    )
    SEND_EVACUATED = EventSpec(
        7414,
        Level.INFO,
        "request {request_id} is not sent to server {server}, whose data "
        "centre {data_centre} was evacuated after it was chosen",
    )
    LATE_LIMITED = EventSpec(
        7415,
        Level.INFO,
        "this node started without a leader and serves few late requests for "
        "{seconds} s from the first view of term {term}",
    )
    PRIORITY_BLOCKED = EventSpec(
        7416,
        Level.INFO,
        "more urgent requests need all slots of {pool}: {waiting} wait at "
        "other nodes, {free} slots are free, priorities {priorities} get none",
    )
    PRIORITY_UNBLOCKED = EventSpec(
        7417,
        Level.INFO,
        "requests of all priorities get slots of {pool} again",
    )
    SEND_FAILED = EventSpec(
        7418,
        Level.INFO,
        "request {request_id} got no usable answer of server {server} within "
        "{ran_ms} ms ({outcome}); connected: {connected}, status {status}: "
        "{error}; abandoned: {abandoned}, head {head} for request {addressee}, "
        "framing {framing}, {body_bytes} bytes",
    )
    REQUEST_DETOURED = EventSpec(
        7419,
        Level.INFO,
        "request {request_id} is passed on to node {node} after {sends} sends "
        "and event {after}, as this node reaches no server",
    )
    REQUEST_ERROR = EventSpec(
        7420,
        Level.ERROR,
        "an error in the handling of request {request_id} ended it: {error} "
        "in {place}",
    )
    ANSWER_CUT_AT_EXIT = EventSpec(
        7421,
        Level.WARNING,
        "the exit of the node cuts the answer to request {request_id} after "
        "{sends} sends: since the node began to stop, it arrived after "
        "{arrived_ms} ms, was last sent after {sent_ms} ms and expected to end "
        "after {expected_ms} ms; its server has sent nothing for {silent_ms} "
        "ms",
    )
    EVENT_MALFORMED = EventSpec(
        9001, Level.ERROR, "event {event_name} has wrong fields: {difference}"
    )
    LIBRARY_MESSAGE = EventSpec(
        9002, Level.WARNING, "message of library {library}: {text}"
    )

    def __init__(self, number: int, level: Level, template: str) -> None:
        """Computes title and fields once, to keep calls of `emit` cheap."""
        self.number = number
        self.level = level
        self.template = template
        self.title = self.name.lower().replace("_", "-")
        self.fields = frozenset(list_placeholders(template))
