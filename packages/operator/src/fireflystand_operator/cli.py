"""Define the command line of operators."""

import sys
from typing import TextIO

import fire
from fire.decorators import SetParseFn

from . import configuration, history, keys, logs, reports, states
from .session import Session, author_of, number, waiting_of

__all__ = ["Fireflystand", "main"]

# Moved to the end, because fire takes the word after a flag as its value.
FLAGS = ("--json", "--wait")

# fire would turn names such as "1e5" into numbers.
as_text = SetParseFn(str)


class Commands:
    """Hold the session that runs commands."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def _run(self, operation, json, store, instances) -> None:
        self._session.note(operation, json, store, instances)


class AccountCommands(Commands):
    """Look at client accounts."""

    @as_text
    def list(self, *, store=None, instances=None, json=False):
        """List the client accounts in effect with rate, burst and services."""
        self._run(reports.list_accounts, json, store, instances)

    @as_text
    def show(self, name, *, store=None, instances=None, json=False):
        """Show a client account with its API keys by hash."""

        async def operation(context):
            return await reports.show_account(context, name)

        self._run(operation, json, store, instances)


class KeyCommands(Commands):
    """Create, list, grant and withdraw API keys."""

    @as_text
    def create(
        self,
        account,
        *,
        reason=None,
        who=None,
        wait=False,
        timeout=None,
        store=None,
        instances=None,
        json=False,
    ):
        """Create an API key, print it once and store its SHA-256 only."""

        async def operation(context):
            author, waiting = author_of(who, reason), waiting_of(wait, timeout)
            return await keys.create_key(context, account, author, waiting)

        self._run(operation, json, store, instances)

    @as_text
    def list(self, account=None, *, store=None, instances=None, json=False):
        """List API keys by SHA-256, of one account or of all."""

        async def operation(context):
            return await keys.list_keys(context, account)

        self._run(operation, json, store, instances)

    @as_text
    def grant(
        self,
        sha256,
        account,
        *,
        reason=None,
        who=None,
        wait=False,
        timeout=None,
        store=None,
        instances=None,
        json=False,
    ):
        """Let an API key made elsewhere, given by its SHA-256, call for an account."""

        async def operation(context):
            author, waiting = author_of(who, reason), waiting_of(wait, timeout)
            return await keys.grant_key(context, sha256, account, author, waiting)

        self._run(operation, json, store, instances)

    @as_text
    def withdraw(
        self,
        sha256,
        *,
        reason=None,
        who=None,
        wait=False,
        timeout=None,
        store=None,
        instances=None,
        json=False,
    ):
        """Withdraw an API key for good, given by the start of its SHA-256."""

        async def operation(context):
            author, waiting = author_of(who, reason), waiting_of(wait, timeout)
            return await keys.withdraw_key(context, sha256, author, waiting)

        self._run(operation, json, store, instances)


class StateCommands(Commands):
    """Change the state of one kind of thing."""

    _kind: states.StateKind

    def _change(
        self, name, to, reason, who, wait, timeout, store, instances, json
    ) -> None:
        async def operation(context):
            author, waiting = author_of(who, reason), waiting_of(wait, timeout)
            return await states.change_state(
                context, self._kind, name, to, author, waiting
            )

        self._run(operation, json, store, instances)

    def _list(self, json, store, instances) -> None:
        async def operation(context):
            return await states.list_states(context, self._kind)

        self._run(operation, json, store, instances)


class DataCentreCommands(StateCommands):
    """Take data centres out of service and bring them back."""

    _kind = states.DATA_CENTRES

    @as_text
    def take_out(
        self,
        name,
        *,
        reason=None,
        who=None,
        wait=False,
        timeout=None,
        store=None,
        instances=None,
        json=False,
    ):
        """Take a data centre out, so that it gets no new work."""
        self._change(name, "out", reason, who, wait, timeout, store, instances, json)

    @as_text
    def bring_back(
        self,
        name,
        *,
        reason=None,
        who=None,
        wait=False,
        timeout=None,
        store=None,
        instances=None,
        json=False,
    ):
        """Bring a data centre back into service."""
        self._change(name, "in", reason, who, wait, timeout, store, instances, json)

    @as_text
    def list(self, *, store=None, instances=None, json=False):
        """List the data centres with their states."""
        self._list(json, store, instances)


class TargetCommands(StateCommands):
    """Drain targets and restore them."""

    _kind = states.TARGETS

    @as_text
    def drain(
        self,
        name,
        *,
        reason=None,
        who=None,
        wait=False,
        timeout=None,
        store=None,
        instances=None,
        json=False,
    ):
        """Give a target no new work; requests in flight finish."""
        self._change(
            name, "draining", reason, who, wait, timeout, store, instances, json
        )

    @as_text
    def restore(
        self,
        name,
        *,
        reason=None,
        who=None,
        wait=False,
        timeout=None,
        store=None,
        instances=None,
        json=False,
    ):
        """Let a drained target get work again."""
        self._change(name, "in", reason, who, wait, timeout, store, instances, json)

    @as_text
    def list(self, *, store=None, instances=None, json=False):
        """List the targets with their states."""
        self._list(json, store, instances)


class LogCommands(Commands):
    """Explain requests and keys from the log lines of instances."""

    @as_text
    def request(self, request_id, *files, json=False):
        """Tell what became of a request, and why; "-" reads standard input."""
        self._session.note_local(lambda: logs.explain_request(request_id, files), json)

    @as_text
    def key(self, service, key, *files, json=False):
        """Tell the owners of a routing key over time; "-" reads standard input."""

        def operation():
            return logs.explain_key(service, number(key, "key"), files)

        self._session.note_local(operation, json)


class Fireflystand(Commands):
    """Operate a fireflystand deployment.

    Exit codes: 0 accepted, 1 fault in the input, 2 usage, 3 rejected,
    4 unknown, 5 not in effect everywhere.
    """

    def __init__(self, session: Session) -> None:
        super().__init__(session)
        self.account = AccountCommands(session)
        self.key = KeyCommands(session)
        self.data_centre = DataCentreCommands(session)
        self.target = TargetCommands(session)
        self.log = LogCommands(session)

    @as_text
    def check(self, base, overlay=None, *, json=False):
        """Check a base file with its overlay and tell every fault."""
        self._session.note_local(lambda: configuration.check(base, overlay), json)

    @as_text
    def render(self, base, overlay=None, *, json=False):
        """Print the merged settings as YAML."""
        self._session.note_local(
            lambda: configuration.show_rendered(base, overlay), json
        )

    @as_text
    def plan(self, base, overlay=None, *, store=None, instances=None, json=False):
        """Print the difference between settings files and what is in effect."""

        async def operation(context):
            return await configuration.plan(context, base, overlay)

        self._run(operation, json, store, instances)

    @as_text
    def apply(
        self,
        base,
        overlay=None,
        *,
        reason=None,
        who=None,
        wait=False,
        timeout=None,
        onto=None,
        store=None,
        instances=None,
        json=False,
    ):
        """Put settings files into effect as the next generation.

        With --onto N the change is rejected unless generation N is in effect.
        """

        async def operation(context):
            author, waiting = author_of(who, reason), waiting_of(wait, timeout)
            generation = number(onto, "onto")
            return await configuration.apply(
                context, base, overlay, author, waiting, generation
            )

        self._run(operation, json, store, instances)

    @as_text
    def status(self, *, store=None, instances=None, json=False):
        """Print generation, instances, coordinators, data centres and moves."""
        self._run(reports.status, json, store, instances)

    @as_text
    def history(
        self,
        *,
        kind="",
        name="",
        who="",
        operation="",
        since="",
        limit=50,
        store=None,
        instances=None,
        json=False,
    ):
        """Print the audit trail of all kinds, oldest first.

        Kinds: configuration, key, data-centre, target. --since is a UTC time
        such as 2026-01-31T08:00.
        """

        async def show(context):
            most = number(limit, "limit")
            wanted = history.HistoryFilter(kind, name, who, operation, since, most)
            return await history.show_history(context, wanted)

        self._run(show, json, store, instances)

    @as_text
    def explain(self, key, *, service, store=None, instances=None, json=False):
        """Tell shard, group, owner, epoch and coordinator of a key, and why."""

        async def operation(context):
            return await reports.explain(context, service, key)

        self._run(operation, json, store, instances)


def run(
    arguments: list[str], out: TextIO | None = None, err: TextIO | None = None
) -> int:
    """Run one command line and return its exit code."""
    session = Session(out, err)
    flags = [item for item in arguments if item in FLAGS]
    given = [item for item in arguments if item not in FLAGS] + flags
    fire.Fire(Fireflystand(session), command=given, name="fireflystand")
    return int(session.execute())


def main() -> None:
    """Run the command line of this process and exit with its code."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
