"""Declare every setting of the operators' files."""

import attrs

__all__ = ["DEPLOYMENT", "Section", "Setting", "walk"]


@attrs.frozen
class Setting:
    """Declare a setting; ``minimum`` and ``maximum`` are in the model's unit.

    A setting of kind ``section`` holds one map, of kind ``list`` named items,
    and of kind ``names`` a list of names. ``choices`` lists the only values.
    """

    name: str
    kind: str
    required: bool = False
    default: object = None
    default_text: str = ""
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    section: "Section | None" = None


@attrs.frozen
class Section:
    """Declare a map of settings."""

    title: str
    settings: tuple[Setting, ...]

    def find(self, name: str) -> Setting | None:
        """Return the setting of a name."""
        for setting in self.settings:
            if setting.name == name:
                return setting
        return None


DATA_CENTRE = Section(
    "data centre",
    (
        Setting("name", "name", required=True),
        Setting("region", "name", required=True),
    ),
)
TARGET_DEFAULTS = Section(
    "target defaults",
    (
        Setting("slots", "integer", minimum=1, maximum=10_000),
        Setting("connections", "integer", minimum=1, maximum=100_000),
        Setting("checks_epoch", "boolean"),
    ),
)
FROM_DEFAULTS = "from target_defaults"
TARGET = Section(
    "target",
    (
        Setting("name", "name", required=True),
        Setting("address", "address", required=True),
        Setting("data_centre", "name", required=True),
        Setting(
            "slots",
            "integer",
            default_text=FROM_DEFAULTS,
            minimum=1,
            maximum=10_000,
        ),
        Setting(
            "connections",
            "integer",
            default_text=FROM_DEFAULTS,
            minimum=1,
            maximum=100_000,
        ),
        Setting("checks_epoch", "boolean", default_text=f"{FROM_DEFAULTS}, else true"),
    ),
)
SERVICE = Section(
    "service",
    (
        Setting("name", "name", required=True),
        Setting("keyed", "boolean", required=True),
        Setting("shards", "integer", default=512, minimum=1, maximum=65_536),
        Setting(
            "groups",
            "integer",
            default_text="4 from 30 targets on, else 1",
            minimum=1,
            maximum=1024,
        ),
        Setting("deadline", "time", default=10.0, minimum=0.001, maximum=3600.0),
        Setting("max_deadline", "time", default=60.0, minimum=0.001, maximum=3600.0),
        Setting("target_defaults", "section", section=TARGET_DEFAULTS),
        Setting("targets", "list", required=True, section=TARGET),
    ),
)
ACCOUNT = Section(
    "account",
    (
        Setting("name", "name", required=True),
        Setting("rate", "rate", required=True, minimum=1 / 3600, maximum=10_000_000),
        Setting("burst", "integer", required=True, minimum=1, maximum=10_000_000),
        Setting("services", "names", required=True),
    ),
)
ROUTE = Section(
    "route",
    (
        Setting("path", "path", required=True),
        Setting("service", "name", required=True),
        Setting("open", "boolean", default=False),
        Setting("idempotent", "boolean", default_text="by method"),
        Setting(
            "routing_key_segment",
            "integer",
            default_text="from Fireflystand-Routing-Key",
            minimum=0,
            maximum=100,
        ),
        Setting(
            "max_body",
            "size",
            default=10 * 1024 * 1024,
            minimum=0,
            maximum=1024**3,
        ),
    ),
)
JOURNAL = Section(
    "journal",
    (
        Setting("groups", "integer", default=2, minimum=1, maximum=64),
        Setting("retention", "time", default=600.0, minimum=60.0, maximum=86_400.0),
    ),
)
DEPLOYMENT = Section(
    "deployment",
    (
        Setting("name", "name", required=True),
        Setting("data_centres", "list", required=True, section=DATA_CENTRE),
        Setting("services", "list", required=True, section=SERVICE),
        Setting("accounts", "list", required=True, section=ACCOUNT),
        Setting("routes", "list", required=True, section=ROUTE),
        Setting("journal", "section", section=JOURNAL),
        Setting("account_groups", "integer", default=4, minimum=1, maximum=1024),
    ),
)


def walk(section: Section, prefix: str = ""):
    """Yield the path and the declaration of each setting."""
    for setting in section.settings:
        path = f"{prefix}{setting.name}"
        yield path, setting
        if setting.section is not None:
            suffix = "[]." if setting.kind == "list" else "."
            yield from walk(setting.section, path + suffix)
