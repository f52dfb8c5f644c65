"""Hold the list of names that leave a process against the code's registries."""

import importlib
import inspect
import pkgutil
import unittest
from pathlib import Path

import attrs

import fireflystand_core
import fireflystand_operator
import fireflystand_router
import fireflystand_testing
from fireflystand_core.configuration.schema import DEPLOYMENT, Section
from fireflystand_core.messages.registry import message_classes_by_name
from fireflystand_operator import cli
from fireflystand_router.events import EVENTS_BY_NUMBER
from fireflystand_router.metrics import METRICS_BY_NAME
from fireflystand_router.settings import ENVIRONMENT_PREFIX, PROCESS
from fireflystand_testing.experiment.loads import loads_by_name

LIST = Path(__file__).resolve().parents[5] / "docs" / "outer-names.txt"
PACKAGES = (
    fireflystand_core,
    fireflystand_router,
    fireflystand_operator,
    fireflystand_testing,
)


def listed_names() -> set[str]:
    """Return the names of the list."""
    lines = LIST.read_text().splitlines()
    return {line for line in lines if line and not line.startswith("#")}


def import_all() -> None:
    """Import every module, so that the registries are full."""
    for package in PACKAGES:
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            if ".tests" not in module.name and not module.name.endswith("__main__"):
                importlib.import_module(module.name)


def names_of(section: Section) -> set[str]:
    """Return the names of the settings of a section and of those below it."""
    names = set()
    for setting in section.settings:
        names.add(setting.name)
        if setting.section is not None:
            names |= names_of(setting.section)
    return names


def command_names() -> set[str]:
    """Return the commands of the operators' command line with their parameters."""
    names = set()
    for _, kind in inspect.getmembers(cli, inspect.isclass):
        if kind.__module__ != cli.__name__:
            continue
        for name, function in inspect.getmembers(kind, inspect.isfunction):
            if not name.startswith("_"):
                names |= {name, *inspect.signature(function).parameters}
    return names - {"self"}


class OuterNamesTests(unittest.TestCase):
    """Guard against a renaming that other processes or operators would notice."""

    @classmethod
    def setUpClass(cls):
        import_all()
        cls.listed = listed_names()

    def assert_listed(self, names):
        self.assertEqual(set(names) - self.listed, set())

    def test_peer_messages_and_their_fields(self):
        classes = message_classes_by_name.values()
        self.assert_listed(message_classes_by_name)
        self.assert_listed(kind.__name__ for kind in classes)
        self.assert_listed(f.name for kind in classes for f in attrs.fields(kind))

    def test_events_and_their_fields(self):
        self.assert_listed(str(number) for number in EVENTS_BY_NUMBER)
        events = EVENTS_BY_NUMBER.values()
        self.assert_listed(field for event in events for field in event.fields)

    def test_metrics(self):
        self.assert_listed(METRICS_BY_NAME)
        metrics = METRICS_BY_NAME.values()
        self.assert_listed(word for m in metrics for word in (m.kind, m.unit))

    def test_settings_and_environment_variables(self):
        names = names_of(PROCESS)
        self.assert_listed(names | names_of(DEPLOYMENT))
        self.assert_listed(ENVIRONMENT_PREFIX + name.upper() for name in names)

    def test_commands_and_flags_of_operators(self):
        self.assert_listed(command_names())

    def test_load_patterns(self):
        self.assert_listed(loads_by_name)


if __name__ == "__main__":
    unittest.main()
