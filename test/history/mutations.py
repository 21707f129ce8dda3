"""Mutations of the product, each of which a check has to detect."""

from unittest import mock

from chervilrock.decisions.configurations import ConfigurationFold
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.requests import outcomes
from chervilrock.decisions.requests.runregistry import ClaimKind, RunRegistry
from chervilrock.edges.relay import BackendRequest, Receiver, Transfer
from chervilrock.edges.sinks import CallerSink
from chervilrock.generated.interfaces import Outcome
from chervilrock.node.entry import EntryNode
from chervilrock.tasks.messages import HostsListed

FOREVER_S = 1e9


class _DiscardingReceiver(Receiver):
    def handle_head(self, head) -> None:
        pass

    def handle_data(self, data) -> None:
        pass


def send_twice():
    """Send requests twice that must be sent only once."""
    run = Transfer.run

    async def run_twice(self, client):
        request: BackendRequest = self._request
        if request.send_once:
            await run(
                Transfer(request=request, receiver=_DiscardingReceiver()),
                client,
            )
        return await run(self, client)

    return mock.patch.object(Transfer, "run", run_twice)


def forget_runs():
    """Run an operation again when its ticket is sent after completion."""
    original = RunRegistry.find

    def find(self, name, fingerprint):
        claim = original(self, name, fingerprint)
        if claim is not None and claim.kind is ClaimKind.REPLAY:
            return None
        return claim

    return mock.patch.object(RunRegistry, "find", find)


def deny_runs():
    """Report `not_run` as the outcome of every request."""
    return mock.patch.object(
        outcomes, "judge_outcome", lambda _ends: Outcome.NOT_RUN
    )


def cut_silently():
    """End a broken stream without an error."""
    original = CallerSink.fail

    def fail(self, error, *, may_retry):
        if self.started and not self._closed:
            self.finish()
        else:
            original(self, error, may_retry=may_retry)

    return mock.patch.object(CallerSink, "fail", fail)


def assume_presence():
    """Accept evidence of the presence of a host at any age."""
    original = PresenceTable.__init__

    def make(self, *, limit, now):
        del limit
        original(self, limit=FOREVER_S, now=now)

    return mock.patch.object(PresenceTable, "__init__", make)


def accept_stale_bases():
    """Accept a configuration regardless of its base revision."""
    original = ConfigurationFold._judge_base

    def judge(self, stored, body):
        current = self._folded.revision if self._folded else 0
        return original(self, stored, body._replace(base_revision=current))

    return mock.patch.object(ConfigurationFold, "_judge_base", judge)


def ignore_leaving():
    """Ignore that servers are marked as leaving in the host list."""
    original = HostsListed.__new__

    def make(cls, hosts, read_at):
        for entry in (*hosts["hosts"], *hosts["services"]):
            entry["leaving"] = False
        return original(cls, hosts, read_at)

    return mock.patch.object(HostsListed, "__new__", make)


def stop_at_once():
    """Stop without waiting for requests in progress."""

    async def stop(self):
        # kill() lets requests go on until all tasks of the node have ended.
        await self._server.close_all_connections()
        await self.kill()
        return 0

    return mock.patch.object(EntryNode, "stop", stop)
