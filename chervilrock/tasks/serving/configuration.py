"""Puts the operator's configurations into force on a node."""

from returns.result import Failure

from chervilrock.decisions.serving.admission.routes import RouteTable
from chervilrock.decisions.serving.site import SiteConfiguration
from chervilrock.decisions.serving.store.polling import list_designated
from chervilrock.decisions.serving.store.revisions import RevisionTracker
from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.events import emit, Event
from chervilrock.tasks.serving.outbound import Decode, Outbound
from chervilrock.tasks.serving.state import ServingState

_NOT_APPLIED = "an error occurred while it was applied"


class ConfigurationKeeper:
    """Keeps the newest configuration that a node could get.

    Attributes:
      document: encoded document of the configuration in force, empty for none.
      unreadable: why the last document was not understood, empty if it was.
    """

    def __init__(
        self,
        *,
        own: NodeEntry,
        state: ServingState,
        outbound: Outbound,
        decode: Decode,
        now: float,
    ) -> None:
        """Create a keeper without a configuration.

        Args:
          own: this node.
          state: state that is shared with the request handlers.
          outbound: makes calls.
          decode: decodes a configuration document.
          now: current time.
        """
        self._own = own
        self._state = state
        self._outbound = outbound
        self._decode = decode
        self._revisions = RevisionTracker()
        self._in_force_since = now
        self.document: bytes = b""
        self.unreadable = ""

    def apply(
        self, document: bytes, source: str, now: float
    ) -> SiteConfiguration | None:
        """Put a configuration into force; return it if it is newer.

        One that is not understood changes nothing.
        """
        if not document:
            return None
        # Also if an unexpected exception ends this function.
        self.unreadable = _NOT_APPLIED
        decoded = self._decode(document)
        if isinstance(decoded, Failure):
            reason = decoded.failure()
            self.unreadable = reason
            emit(Event.CONFIGURATION_UNREADABLE, source=source, reason=reason)
            return None
        configuration = decoded.unwrap()
        if configuration.revision <= self._state.revision:
            self.unreadable = ""
            return None
        self._state.routes = RouteTable(configuration=configuration)
        self.document = document
        self.unreadable = ""
        self._in_force_since = now
        for field, value in configuration.ignored:
            emit(Event.CONFIGURATION_FIELD_IGNORED, field=field, value=value)
        for field, value, used in configuration.bounded:
            emit(
                Event.CONFIGURATION_FIELD_BOUNDED,
                field=field,
                value=value,
                used=used,
            )
        keys = configuration.keys
        emit(
            Event.REVISION_IN_FORCE,
            revision=configuration.revision,
            source=source,
            routes=len(configuration.routes),
            keys=0 if keys is None else len(keys),
        )
        return configuration

    def record_reported(self, revision: int, now: float) -> None:
        """Record the newest revision that another node has in force."""
        self._revisions.record_reported(revision, self._state.revision, now)

    def fetch_missing(
        self, holder: NodeEntry | None, *, is_reading: bool, now: float
    ) -> None:
        """Fetch a newer revision from a node if the store did not return it.

        Args:
          holder: node that has the newest revision, None for an unknown one.
          is_reading: whether this node reads configurations from the store.
          now: current time.
        """
        state = self._state
        if not self._revisions.is_due(
            state.revision, now, is_reading=is_reading
        ):
            return
        local_nodes = tuple(
            node
            for node in list_designated(self._own.data_centre, state.nodes)
            if node != self._own
        )
        source = self._revisions.choose_source(
            local_nodes, holder, state.generator, now
        )
        if source is not None:
            self._outbound.fetch_document(source)

    def find_age(self, now: float) -> float:
        """Return the seconds since the revision came into force here."""
        return now - self._in_force_since

    def find_lag(self, now: float) -> float:
        """Return for how many seconds another node has had a newer revision."""
        return self._revisions.find_lag(self._state.revision, now)
