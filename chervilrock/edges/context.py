"""Interface between the handlers for callers and their node."""

import abc
from typing import TYPE_CHECKING

from chervilrock.decisions.requests.keyfold import KeyName
from chervilrock.decisions.requests.keys import KeyVerdict
from chervilrock.generated import configuration, interfaces

if TYPE_CHECKING:
    from chervilrock.clients.base import ModelEngine
    from chervilrock.decisions.limits.admission import Admission
    from chervilrock.decisions.routing.base import Endpoint, RoutingPolicy
    from chervilrock.metrics import Metrics


class RequestContext(abc.ABC):
    """State of a node as the handlers for callers see it.

    Handlers call these methods again for each attempt, so that a result is
    never older than the attempt. All times are seconds of the monotonic
    clock of `now`.
    """

    @property
    @abc.abstractmethod
    def node_id(self) -> str:
        """Identifier of this node, from its settings."""

    @property
    @abc.abstractmethod
    def incarnation(self) -> str:
        """Identifier of this run of the node; it changes at every start."""

    @property
    @abc.abstractmethod
    def leaving(self) -> bool:
        """Whether this node is stopping and rejects new requests."""

    @property
    @abc.abstractmethod
    def admission(self) -> "Admission":
        """Admission control: runs, queues or rejects requests."""

    @property
    @abc.abstractmethod
    def policy(self) -> "RoutingPolicy":
        """Routing policy that chooses the replica group for a request."""

    @property
    @abc.abstractmethod
    def engine(self) -> "ModelEngine":
        """Control interface of the engines, used to cancel attempts."""

    @property
    @abc.abstractmethod
    def metrics(self) -> "Metrics":
        """Metrics of this process."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns the present time in seconds of a monotonic clock."""

    @abc.abstractmethod
    def limits(self) -> configuration.LimitSpec:
        """Returns the limits in force; missing fields have their defaults."""

    @abc.abstractmethod
    def models(self) -> tuple[configuration.ModelSpec, ...]:
        """Returns the models of the configuration in force."""

    @abc.abstractmethod
    def endpoints(
        self, model: str, adapter: str, now: float
    ) -> "tuple[Endpoint, ...]":
        """Returns the groups of a model and adapter that may serve now.

        Args:
          model: name of the model.
          adapter: name of the adapter, empty for none.
          now: present time.

        Returns:
          Only groups in the phase `serving` whose hosts are all verified as
          present at `now`.
        """

    @abc.abstractmethod
    def keeps_attempts(self, endpoint: "Endpoint", now: float) -> bool:
        """Returns whether a group still processes its running attempts.

        It does as long as all its members are present under the same fencing
        number. It may still be closed to new requests, as while it drains.

        Args:
          endpoint: the group as it was when the attempt was sent.
          now: present time.
        """

    @abc.abstractmethod
    def service_spec(self, name: str) -> configuration.ServiceSpec | None:
        """Returns the configuration of a plain service, None if unknown."""

    @abc.abstractmethod
    def service_backends(
        self, name: str, now: float
    ) -> tuple[interfaces.ServiceEntry, ...]:
        """Returns the backend servers of a plain service for new requests.

        Servers that are leaving are excluded.
        """

    @abc.abstractmethod
    def addresses(
        self, data_centre: str, now: float
    ) -> interfaces.AddressAnswer:
        """Returns the addresses that a caller of a data centre should use.

        Args:
          data_centre: data centre of the caller, empty if not given.
          now: present time.
        """

    @abc.abstractmethod
    def peer_address(self, incarnation: str) -> str | None:
        """Returns the address of the node with this incarnation.

        None if that incarnation has ended or is unknown to this node.
        """

    async def claim_key(self, name: KeyName) -> KeyVerdict:
        """Claims a caller-chosen idempotency key in the log.

        The default implementation claims nothing and returns `NOT_RUN`.

        Returns:
          Any verdict except `WAIT`. `DISPATCH` is returned to at most one of
          the callers of this node that wait for the same key.
        """
        del name
        return KeyVerdict.NOT_RUN

    def finish_key(self, name: KeyName, outcome: str) -> None:
        """Records the outcome of the request with a claimed key in the log.

        Args:
          name: the key.
          outcome: `keys.COMPLETE` or a value of `Outcome`.
        """
        del name, outcome
