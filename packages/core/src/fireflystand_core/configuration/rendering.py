"""Write a deployment as settings and compare two deployments."""

import attrs
import yaml

from . import units
from .model import Deployment, RouteSettings, ServiceSettings, TargetSettings

__all__ = ["Difference", "compare", "render", "settings_of"]


def render(deployment: Deployment) -> str:
    """Return the merged settings as YAML that can be loaded again."""
    return yaml.safe_dump(settings_of(deployment), sort_keys=False, allow_unicode=True)


def settings_of(deployment: Deployment) -> dict:
    """Return the settings that describe a deployment, defaults included."""
    return {
        "name": deployment.name,
        "data_centres": [
            {"name": item.id, "region": item.region}
            for item in deployment.data_centres_by_id.values()
        ],
        "services": [_service(item) for item in deployment.services_by_id.values()],
        "accounts": [
            {
                "name": item.id,
                "rate": units.format_rate(item.rate),
                "burst": int(item.burst),
                "services": list(item.services),
            }
            for item in deployment.accounts_by_id.values()
        ],
        "routes": [_route(item) for item in deployment.routes],
        "journal": {
            "groups": deployment.journal.groups,
            "retention": units.format_duration(deployment.journal.retention),
        },
        "account_groups": deployment.account_groups,
    }


def _service(item: ServiceSettings) -> dict:
    return {
        "name": item.id,
        "keyed": item.keyed,
        "shards": item.shards,
        "groups": item.groups,
        "deadline": units.format_duration(item.deadline),
        "max_deadline": units.format_duration(item.max_deadline),
        "targets": [_target(target) for target in item.targets_by_id.values()],
    }


def _target(item: TargetSettings) -> dict:
    values = attrs.asdict(item)
    return {"name": values.pop("id"), **values}


def _route(item: RouteSettings) -> dict:
    values = {k: v for k, v in attrs.asdict(item).items() if v is not None}
    values["max_body"] = units.format_size(values.pop("max_body_bytes"))
    return values


@attrs.frozen
class Difference:
    """Tell one change; ``before`` or ``after`` is ``None`` where there is nothing."""

    change: str  # "added", "removed" or "changed"
    path: str
    before: object
    after: object

    def __str__(self) -> str:
        if self.change == "added":
            return f"+ {self.path}: {_brief(self.after)}"
        if self.change == "removed":
            return f"- {self.path}: {_brief(self.before)}"
        return f"~ {self.path}: {_brief(self.before)} -> {_brief(self.after)}"


def compare(before: Deployment | None, after: Deployment) -> list[Difference]:
    """Return the differences between two deployments, by path."""
    old = {} if before is None else _by_name(settings_of(before))
    return list(_compare("", old, _by_name(settings_of(after))))


def _by_name(value: object) -> object:
    if isinstance(value, dict):
        return {key: _by_name(part) for key, part in value.items()}
    if isinstance(value, list) and all(isinstance(part, dict) for part in value):
        return {part.get("name") or part["path"]: _by_name(part) for part in value}
    return value


def _compare(path: str, before: dict, after: dict):
    for key in [*before, *(key for key in after if key not in before)]:
        below = f"{path}.{key}" if path else key
        old, new = before.get(key), after.get(key)
        if _is_collection(old or new) and _is_collection(new or old):
            yield from _compare(below, old or {}, new or {})
        elif key not in after:
            yield Difference("removed", below, before[key], None)
        elif key not in before:
            yield Difference("added", below, None, after[key])
        elif isinstance(before[key], dict) and isinstance(after[key], dict):
            yield from _compare(below, before[key], after[key])
        elif before[key] != after[key]:
            yield Difference("changed", below, before[key], after[key])


def _is_collection(value: object) -> bool:
    """Tell whether a value holds named things, which are compared one by one."""
    return isinstance(value, dict) and all(isinstance(v, dict) for v in value.values())


def _brief(value: object) -> str:
    if not isinstance(value, dict):
        return str(value)
    parts = []
    for key, part in value.items():
        if isinstance(part, dict):
            parts.append(f"{len(part)} {key}")
        elif key not in ("name", "path"):
            parts.append(f"{key} {part}")
    return ", ".join(parts)
