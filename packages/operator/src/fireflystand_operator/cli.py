"""Define the command line of operators."""

import sys
from typing import TextIO

import fire
from fire.decorators import SetParseFn

from . import configuration, history, keys, logs, reports, states
from .results import CheckCode
from .session import Session, parse_author, parse_number, parse_wait

__all__ = ["Fireflystand", "main"]

# run() moves these flags to the end, because fire takes the word after a flag as its
# value.
FLAGS_WITHOUT_VALUE = ("--json", "--wait")

# Without this decorator, fire turns names such as "1e5" into numbers.
as_text = SetParseFn(str)


class Commands:
    """Run commands through a session."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def _run(self, operation, json, store, instances) -> None:
        self._session.defer(operation, json, store, instances)


class AccountCommands(Commands):
    """List and show client accounts."""

    @as_text
    def list(self, *, store=None, instances=None, json=False):
        """List the client accounts with their rate, burst and services."""
        self._run(reports.list_accounts, json, store, instances)

    @as_text
    def show(self, name, *, store=None, instances=None, json=False):
        """Show a client account with the SHA-256 and state of its API keys."""

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
        """Create an API key and print it; only its SHA-256 is stored."""

        async def operation(context):
            author, wait_options = parse_author(who, reason), parse_wait(wait, timeout)
            return await keys.create_key(context, account, author, wait_options)

        self._run(operation, json, store, instances)

    @as_text
    def list(self, account=None, *, store=None, instances=None, json=False):
        """List the API keys of one client account or of all by their SHA-256."""

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
        """Register an API key created elsewhere for an account, by its SHA-256."""

        async def operation(context):
            author, wait_options = parse_author(who, reason), parse_wait(wait, timeout)
            return await keys.grant_key(context, sha256, account, author, wait_options)

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
        """Withdraw an API key permanently; give at least 8 digits of its SHA-256."""

        async def operation(context):
            author, wait_options = parse_author(who, reason), parse_wait(wait, timeout)
            return await keys.withdraw_key(context, sha256, author, wait_options)

        self._run(operation, json, store, instances)


class StateCommands(Commands):
    """Change and list the states of data centres or of targets."""

    _kind: states.StateKind

    def _change(
        self, name, to, reason, who, wait, timeout, store, instances, json
    ) -> None:
        async def operation(context):
            author, wait_options = parse_author(who, reason), parse_wait(wait, timeout)
            return await states.change_state(
                context, self._kind, name, to, author, wait_options
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
        """Take a data centre out of service; it gets no new work."""
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
        """Drain a target: it gets no new work; requests in flight finish."""
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
        """Return a drained target to service."""
        self._change(name, "in", reason, who, wait, timeout, store, instances, json)

    @as_text
    def list(self, *, store=None, instances=None, json=False):
        """List the targets with their states."""
        self._list(json, store, instances)


class LogCommands(Commands):
    """Explain requests and routing keys from the log files of instances."""

    @as_text
    def request(self, request_id, *files, json=False):
        """Show the log lines that explain how a request ended.

        Without files, or with "-", standard input is read.
        """
        self._session.defer_local(lambda: logs.explain_request(request_id, files), json)

    @as_text
    def key(self, service, key, *files, json=False):
        """Show the owners of a numeric routing key over time.

        Without files, or with "-", standard input is read.
        """

        def operation():
            return logs.explain_key(service, parse_number(key, "key"), files)

        self._session.defer_local(operation, json)


class Fireflystand(Commands):
    """Operate a fireflystand deployment.

    Exit codes: 0 accepted, 1 fault in the input, 2 wrong usage, 3 rejected,
    4 outcome unknown or call failed, 5 accepted but not in effect everywhere.
    """

    def __init__(self, session: Session) -> None:
        super().__init__(session)
        self.account = AccountCommands(session)
        self.key = KeyCommands(session)
        self.data_centre = DataCentreCommands(session)
        self.target = TargetCommands(session)
        self.log = LogCommands(session)

    @as_text
    def check(self, base, overlay=None, *, store=None, instances=None, json=False):
        """Check a base file with its overlay: faults, warnings and differences.

        Exit codes: 0 no finding, 1 warnings, 2 faults, 4 the store cannot be read.
        With --store, differences from the generation in effect are shown. They do not
        count as findings.
        """
        self._session.fault_code = CheckCode.ERRORS
        if not store:
            return self._session.defer_local(
                lambda: configuration.check(base, overlay), json
            )

        async def operation(context):
            return await configuration.check_against_store(context, base, overlay)

        self._run(operation, json, store, instances)

    @as_text
    def render(self, base, overlay=None, *, json=False):
        """Print the merged settings as YAML."""
        self._session.defer_local(
            lambda: configuration.show_rendered(base, overlay), json
        )

    @as_text
    def plan(self, base, overlay=None, *, store=None, instances=None, json=False):
        """Compare settings files with the generation in effect."""

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
        """Apply settings files as the next generation.

        With --onto N the change is rejected unless generation N is in effect.
        """

        async def operation(context):
            author, wait_options = parse_author(who, reason), parse_wait(wait, timeout)
            generation = parse_number(onto, "onto")
            return await configuration.apply(
                context, base, overlay, author, wait_options, generation
            )

        self._run(operation, json, store, instances)

    @as_text
    def status(self, *, store=None, instances=None, json=False):
        """Print generation, instances, coordinators, data centres and pending moves."""
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
        """Print the audit trail, oldest record first.

        Values of --kind: configuration, key, data-centre, target. --since is a UTC
        time such as 2026-01-31T08:00. --limit keeps the newest records.
        """

        async def show(context):
            max_records = parse_number(limit, "limit")
            criteria = history.HistoryFilter(
                kind, name, who, operation, since, max_records
            )
            return await history.show_history(context, criteria)

        self._run(show, json, store, instances)

    @as_text
    def explain(self, key, *, service, store=None, instances=None, json=False):
        """Explain the shard, group, owner, epoch and coordinator of a routing key."""

        async def operation(context):
            return await reports.explain(context, service, key)

        self._run(operation, json, store, instances)


def run(
    arguments: list[str], out: TextIO | None = None, err: TextIO | None = None
) -> int:
    """Run one command line and return its exit code."""
    session = Session(out, err)
    flags = [item for item in arguments if item in FLAGS_WITHOUT_VALUE]
    reordered = [item for item in arguments if item not in FLAGS_WITHOUT_VALUE] + flags
    fire.Fire(Fireflystand(session), command=reordered, name="fireflystand")
    return int(session.execute())


def main() -> None:
    """Run the command line of this process and exit with its code."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
