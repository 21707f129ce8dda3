"""Handlers for the exchange of digests with other nodes."""

import abc

import msgspec
from returns.result import Failure
from tornado import routing, web

from chervilrock.generated.interfaces import PeerDigest
from chervilrock.tasks.peers import decode_digest

_STATUS_BAD_REQUEST = 400


class PeerContext(abc.ABC):
    """State of a node as the handlers for peers see it."""

    @abc.abstractmethod
    def answer_digest(self, digest: PeerDigest) -> PeerDigest:
        """Apply the digest of a peer and return the digest of this node."""


class _ExchangeHandler(web.RequestHandler):
    """Exchanges digests."""

    context: PeerContext

    def initialize(self, context: PeerContext) -> None:
        """Store the state of the node."""
        self.context = context

    def set_default_headers(self) -> None:
        """Omit headers that no peer reads, since exchanges are small."""
        self.clear_header("Server")
        self.clear_header("Date")

    def post(self) -> None:
        result = decode_digest(self.request.body)
        self.set_header("Content-Type", "application/json")
        if isinstance(result, Failure):
            self.set_status(_STATUS_BAD_REQUEST)
            self.finish(msgspec.json.encode({"error": result.failure()}))
            return
        answer = self.context.answer_digest(result.unwrap())
        self.finish(msgspec.json.encode(answer))


def make_peer_routes(context: PeerContext) -> list[routing.URLSpec]:
    """Return the routes for peers."""
    return [
        routing.URLSpec(
            "/peer/exchange", _ExchangeHandler, {"context": context}
        )
    ]
