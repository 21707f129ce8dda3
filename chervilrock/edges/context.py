"""What the handlers for callers need from the node that they run in."""

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

    A handler asks anew for each attempt, so that an answer is never older
    than the attempt. All times are seconds of the monotonic clock of `now`.
    """

    @property
    @abc.abstractmethod
    def node_id(self) -> str:
        """Identifier of this node, from its settings."""

    @property
    @abc.abstractmethod
    def incarnation(self) -> str:
        """Name of this run of the node; it changes at every start."""

    @property
    @abc.abstractmethod
    def leaving(self) -> bool:
        """Whether this node takes no new requests since it stops."""

    @property
    @abc.abstractmethod
    def admission(self) -> "Admission":
        """Decides which requests run, wait or are rejected."""

    @property
    @abc.abstractmethod
    def policy(self) -> "RoutingPolicy":
        """Chooses the replica group for a request."""

    @property
    @abc.abstractmethod
    def engine(self) -> "ModelEngine":
        """Control side of the engines, to cancel attempts."""

    @property
    @abc.abstractmethod
    def metrics(self) -> "Metrics":
        """Metrics of this process."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns the present time in seconds of a monotonic clock."""

    @abc.abstractmethod
    def limits(self) -> configuration.LimitSpec:
        """Returns the limits in force; a missing one has its default."""

    @abc.abstractmethod
    def models(self) -> tuple[configuration.ModelSpec, ...]:
        """Returns the models of the configuration in force."""

    @abc.abstractmethod
    def endpoints(
        self, model: str, adapter: str, now: float
    ) -> "tuple[Endpoint, ...]":
        """Returns the groups of a model and adapter that may serve right now.

        Args:
          model: name of the model.
          adapter: name of the adapter, empty for none.
          now: present time.

        Returns:
          Only groups that are in the phase `serving` and whose every host is
          proven present at `now`.
        """

    @abc.abstractmethod
    def holds(self, endpoint: "Endpoint", now: float) -> bool:
        """Tells whether a group still works on what it was sent.

        It does while it is whole under the same fencing number. It may get
        nothing new all the same, as when it drains.

        Args:
          endpoint: the group as it was when it got a request.
          now: present time.
        """

    @abc.abstractmethod
    def service_spec(self, name: str) -> configuration.ServiceSpec | None:
        """Returns the configuration of a plain service, None if unknown."""

    @abc.abstractmethod
    def service_backends(
        self, name: str, now: float
    ) -> tuple[interfaces.ServiceEntry, ...]:
        """Returns the backend servers of a plain service for new work.

        Those that are leaving are left out.
        """

    @abc.abstractmethod
    def addresses(
        self, data_centre: str, now: float
    ) -> interfaces.AddressAnswer:
        """Returns the addresses that a caller of a data centre should use.

        Args:
          data_centre: where the caller is, empty when it did not say.
          now: present time.
        """

    @abc.abstractmethod
    def peer_address(self, incarnation: str) -> str | None:
        """Returns the address of the node with this incarnation.

        None when that incarnation is gone or has not been heard of.
        """

    async def claim_key(self, name: KeyName) -> KeyVerdict:
        """Claims a key that a caller chose, in the log.

        A node that claims no keys answers that the request is not run.

        Returns:
          Anything but `WAIT`. At most one caller of this node gets
          `DISPATCH`; others that wait for the same key get it not.
        """
        del name
        return KeyVerdict.NOT_RUN

    def finish_key(self, name: KeyName, outcome: str) -> None:
        """Tells the log how the request with a claimed key has ended.

        Args:
          name: the key.
          outcome: `keys.COMPLETE` or a value of `Outcome`.
        """
        del name, outcome
