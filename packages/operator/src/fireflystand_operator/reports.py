"""Report the status, the client accounts and the routing of a key."""

from fireflystand_core.exceptions import FireflystandError

from .context import Context
from .keys import read_keys
from .results import CommandResult, InputFaultError
from .states import DATA_CENTRES, IN_SERVICE, TARGETS, read_states

__all__ = ["explain", "list_accounts", "show_account", "status"]


async def status(context: Context) -> CommandResult:
    """Report generation, instances, coordinators, data centres and pending moves."""
    current = await context.current()
    deployment = await context.deployment()
    states, problem = await _instance_states(context)
    up_to_date = sorted(
        name
        for name, state in states.items()
        if state and state.generation >= current.generation
    )
    names = list(deployment.data_centres_by_id) if deployment else []
    data_centre_states = await read_states(context, DATA_CENTRES)
    target_states = await read_states(context, TARGETS)
    coordinators = await _coordinators(context)
    data = {
        "generation": current.generation,
        "operation_id": current.operation_id,
        "instances": len(states),
        "in_effect_on": len(up_to_date),
        "problem": problem,
        "behind": _behind(states, up_to_date),
        "not_admitting": sorted(n for n, s in states.items() if s and not s.admitting),
        "coordinators": coordinators,
        "data_centres": {
            name: data_centre_states.get(name, IN_SERVICE) for name in names
        },
        "draining_targets": sorted(
            n for n, s in target_states.items() if s != IN_SERVICE
        ),
        "pending_moves": sum(
            group.pending_moves
            for state in states.values()
            if state
            for group in state.groups
        ),
    }
    return CommandResult(_status_lines(data), data)


async def _instance_states(context: Context):
    try:
        return await context.instances.states(), ""
    except FireflystandError as error:
        return {}, str(error)


def _behind(states, up_to_date: list[str]) -> dict[str, str]:
    return {
        name: f"generation {state.generation}" if state else "no response"
        for name, state in sorted(states.items())
        if name not in up_to_date
    }


async def _coordinators(context: Context) -> dict[str, dict]:
    snapshot = await context.store.list("groups/")
    return {
        item.key.removeprefix("groups/"): {
            "coordinator": _instance_of(item.value.get("coordinator")),
            "epoch": item.value.get("epoch"),
        }
        for item in snapshot.items
    }


def _instance_of(coordinator: object) -> object:
    if isinstance(coordinator, dict):
        return coordinator.get("id")
    return coordinator


def _status_lines(data: dict) -> list[str]:
    lines = [
        f"generation {data['generation']} (operation {data['operation_id'] or 'none'})"
        f" in effect on {data['in_effect_on']} of {data['instances']} live instances"
    ]
    if data["problem"]:
        lines.append(f"the instance list cannot be read: {data['problem']}")
    lines += [f"  behind: {name}, {why}" for name, why in data["behind"].items()]
    lines += [f"  not admitting: {name}" for name in data["not_admitting"]]
    for group, claim in data["coordinators"].items():
        lines.append(
            f"group {group}: coordinator {claim['coordinator']}, epoch {claim['epoch']}"
        )
    for name, state in data["data_centres"].items():
        lines.append(f"data centre {name}: {state}")
    lines += [f"target {name}: draining" for name in data["draining_targets"]]
    lines.append(f"pending moves: {data['pending_moves']}")
    return lines


async def list_accounts(context: Context) -> CommandResult:
    """List the client accounts in effect."""
    deployment = await context.required_deployment()
    rows = [_account_row(item) for item in deployment.accounts_by_id.values()]
    lines = [
        f"{row['name']}: {row['rate']:g} per s, burst {row['burst']:g}, "
        f"services {', '.join(row['services'])}"
        for row in rows
    ]
    return CommandResult(lines, rows)


async def show_account(context: Context, name: str) -> CommandResult:
    """Show a client account with its API keys."""
    deployment = await context.required_deployment()
    account = deployment.accounts_by_id.get(name)
    if account is None:
        known = ", ".join(deployment.accounts_by_id)
        raise InputFaultError(f"account {name!r} does not exist; known: {known}")
    row = _account_row(account)
    row["keys"] = [k for k in await read_keys(context) if k["account"] == name]
    lines = [
        f"account {name}",
        f"rate: {row['rate']:g} per s",
        f"burst: {row['burst']:g}",
        f"services: {', '.join(row['services'])}",
        *(f"key: {key['sha256']} {key['state']}" for key in row["keys"]),
    ]
    return CommandResult(lines, row)


def _account_row(account) -> dict:
    return {
        "name": account.id,
        "rate": account.rate,
        "burst": account.burst,
        "services": list(account.services),
    }


async def explain(context: Context, service: str, key: str) -> CommandResult:
    """Report how requests for a key are routed, and the group's record in the store."""
    deployment = await context.required_deployment()
    if service not in deployment.services_by_id:
        known = ", ".join(deployment.services_by_id)
        raise InputFaultError(f"service {service!r} does not exist; known: {known}")
    data = await context.instances.explain(service, key)
    lines = [f"{name}: {value}" for name, value in data.items()]
    found = await context.store.get(f"groups/{service}/{data.get('group')}")
    if found is not None:
        record = {
            "epoch": found.value.get("epoch"),
            "coordinator": _instance_of(found.value.get("coordinator")),
        }
        data["store"] = record
        lines.append(
            f"store: epoch {record['epoch']}, coordinator {record['coordinator']}"
        )
    return CommandResult(lines, data)
