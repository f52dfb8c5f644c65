"""Test that settings files are read, merged and checked."""

import unittest
from pathlib import Path

import cattrs
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflystand_core.configuration import (
    Deployment,
    FaultySettingsError,
    compare,
    load_files,
    load_texts,
    render,
    units,
)

ROOT = Path(__file__).resolve().parents[6]
BASE = """\
name: shop
data_centres:
  - {name: north, region: land}
  - {name: south, region: land}
services:
  - name: stock
    keyed: true
    target_defaults: {slots: 2, connections: 10}
    targets:
      - {name: s1, address: '10.0.0.1:80', data_centre: north}
      - {name: s2, address: '10.0.0.2:80', data_centre: south}
accounts:
  - {name: tills, rate: 200 per s, burst: 400, services: [stock]}
routes:
  - {path: /stock, service: stock, max_body: 64 KiB}
journal: {retention: 10 min}
"""


def faults_of(text: str, overlay: str | None = None) -> list[str]:
    try:
        load_texts(("base", text), overlay and ("site", overlay))
    except FaultySettingsError as error:
        return [str(fault) for fault in error.faults]
    return []


class FaultTests(unittest.TestCase):
    """Guard against settings that are accepted although they cannot work."""

    # Each row: what is replaced, by what, and the one fault expected.
    ROWS = [
        ("keyed: true", "keyd: true", "base:7: services.stock.keyd: service has no"),
        ("keyed: true", "keyed: maybe", "base:7: services.stock.keyed: write true"),
        ("rate: 200 per s", "rate: 200", "base:13: accounts.tills.rate: the unit is"),
        ("rate: 200 per s", "rate: 2 per day", "accounts.tills.rate: unit 'per day'"),
        ("rate: 200 per s", "rate: 4001 per s", "4001 per s cannot be served"),
        ("burst: 400", "burst: 0", "base:13: accounts.tills.burst: 0 is too small"),
        ("slots: 2", "slots: 20000", "20000 is too large; write at most 10000"),
        ("slots: 2", "slots: 11", "write at least as many connections as 11"),
        ("slots: 2, ", "", "write slots here or in target_defaults"),
        ("services: [stock]", "services: [stok]", "did you mean 'stock'?"),
        ("services: [stock]", "services: []", "the account may call nothing"),
        ("data_centre: south", "data_centre: sout", "did you mean 'south'?"),
        ("service: stock,", "service: shelf,", "service 'shelf' does not exist"),
        ("name: s2", "name: s1", "'s1' is already used at base:10"),
        ("name: south,", "name: north,", "'north' is already used at base:3"),
        ("10.0.0.2:80", "10.0.0.1:80", "address '10.0.0.1:80' is already used at"),
        ("10.0.0.2:80", "shop.example:80", "write an IP number and a port"),
        ("10.0.0.2:80", "10.0.0.2:99999", "write a port from 1 to 65535"),
        ("/stock, service", "stock, service", "write a path that starts with '/'"),
        ("journal: {", "journal: {retention: 9 min, ", "line 16 already sets it"),
        ("retention: 10 min", "retention: 10 ms", "too small; write at least 1 min"),
        ("keyed: true", "keyed: true\n    groups: 3", "3 groups are more than 2 targ"),
        ("keyed: true", "keyed: true\n    deadline: 2 min", "deadline is longer than"),
        ("burst: 400, ", "", "setting 'burst' is missing"),
        ("name: shop", "name: {a: b}", "base:1: name: write one value of type name"),
        ("name: shop", "name: Shop_1", "base:1: name: write a name of 1 to 63"),
        ("burst: 400", "burst: 4.5", "accounts.tills.burst: write a whole number"),
        ("name: shop", "name: !other x", "tag !other is unknown"),
    ]

    def test_each_fault_is_told_with_place_and_remedy(self):
        self.assertEqual(faults_of(BASE), [])
        for before, after, expected in self.ROWS:
            with self.subTest(after=after):
                found = faults_of(BASE.replace(before, after, 1))
                self.assertTrue(any(expected in fault for fault in found), found)

    def test_two_routes_with_one_path(self):
        text = BASE.replace("routes:", "routes:\n  - {path: /stock, service: stock}")
        self.assertIn("path '/stock' is already used", faults_of(text)[0])

    def test_routing_key_of_a_service_not_divided_by_key(self):
        text = BASE.replace("keyed: true", "keyed: false")
        text = text.replace(
            "service: stock,", "service: stock, routing_key_segment: 1,"
        )
        self.assertIn("not divided by key", faults_of(text)[0])

    def test_reserved_service_name(self):
        text = BASE.replace("stock", "journal").replace("/journal", "/stock")
        self.assertIn("'journal' is reserved", faults_of(text)[0])

    def test_all_faults_are_told_in_one_run(self):
        text = BASE
        for before, after in [("true", "7"), ("200 per s", "x"), ("/stock,", "no,")]:
            text = text.replace(before, after, 1)
        self.assertEqual(len(faults_of(text)), 3)

    def test_faults_of_form(self):
        for text in ("", "a: [", "- 1", "a: 2001-99-99", "? [1]\n: 2", "a: &x [*x]"):
            with self.subTest(text=text):
                self.assertTrue(faults_of(text))

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.integers(0, len(BASE) - 1),
        st.integers(0, 30),
        st.sampled_from(["", "{", "!remove", ": ", "- ", "~", "[]", "\n", "&a", "7"]),
    )
    def test_damaged_files_give_faults_and_no_other_error(self, at, length, text):
        faults_of(BASE[:at] + text + BASE[at + length :])


class OverlayTests(unittest.TestCase):
    """Guard against overlays that are lost, doubled or half applied."""

    def load(self, overlay):
        return load_texts(("base", BASE), ("site", overlay))

    def test_maps_merge_by_key_and_lists_by_name(self):
        deployment = self.load(
            "accounts:\n- {name: tills, rate: 300 per s}\n"
            "services:\n- {name: stock, targets: [{name: s2, slots: 5}]}\n"
        )
        account = deployment.accounts_by_id["tills"]
        self.assertEqual((account.rate, account.burst), (300.0, 400.0))
        targets = deployment.services_by_id["stock"].targets_by_id
        self.assertEqual([t.slots for t in targets.values()], [2, 5])
        self.assertEqual(targets["s2"].address, "10.0.0.2:80")

    def test_removal_is_explicit(self):
        deployment = self.load(
            "services:\n- {name: stock, targets: [!remove s2]}\n"
            "data_centres: [!remove south]\njournal: !remove x\n"
        )
        self.assertEqual(list(deployment.data_centres_by_id), ["north"])
        self.assertEqual(list(deployment.services_by_id["stock"].targets_by_id), ["s1"])

    def test_removal_of_nothing_is_a_fault_of_the_overlay(self):
        found = faults_of(BASE, "data_centres: [!remove east]\n")
        self.assertIn("site:1: data_centres", found[0])
        self.assertIn("no 'east' to remove", found[0])

    def test_name_twice_in_an_overlay_is_a_fault(self):
        twice = "accounts:\n- {name: tills, burst: 5}\n- {name: tills, burst: 6}\n"
        self.assertTrue(any("already used" in f for f in faults_of(BASE, twice)))

    def test_removal_in_a_base_file_is_a_fault(self):
        found = faults_of(
            BASE.replace("north, region: land", "north, region: !remove x")
        )
        self.assertIn("only in an overlay", found[0])


class RenderTests(unittest.TestCase):
    """Guard against settings that change when written and read again."""

    def test_examples_load_at_their_sizes_and_survive_rendering(self):
        sizes = {
            ("toison-franche", "be-central"): {"winkel": 35, "drukwerk": 8},
            ("lonchera-segura", "lima"): {"menus": 30, "packs": 6},
        }
        for (name, site), expected in sizes.items():
            folder = ROOT / "examples" / name
            overlay = folder / "sites" / f"{site}.yaml"
            deployment = load_files(str(folder / "base.yaml"), str(overlay))
            found = {
                service.id: len(service.targets_by_id)
                for service in deployment.services_by_id.values()
            }
            self.assertEqual(found, expected)
            self.assertEqual(len(deployment.accounts_by_id), 8)
            self.assertEqual(sum(route.open for route in deployment.routes), 1)
            again = load_texts(("rendered", render(deployment)))
            self.assertEqual(again, deployment)
            stored = cattrs.unstructure(deployment)
            self.assertEqual(cattrs.structure(stored, Deployment), deployment)

    @settings(deadline=None, derandomize=True)
    @given(st.integers(1, 10**10))
    def test_units_survive_writing_and_reading(self, number):
        size = units.format_size(number)
        self.assertEqual(units.parse_size(size), number)
        seconds = number / 1000
        written = units.format_duration(seconds)
        self.assertAlmostEqual(units.parse_duration(written), seconds)
        self.assertAlmostEqual(units.parse_rate(units.format_rate(seconds)), seconds)

    def test_differences_name_what_changed(self):
        before = load_texts(("base", BASE))
        after = load_texts(
            ("base", BASE),
            (
                "site",
                "accounts: [{name: tills, burst: 500}]\n"
                "services: [{name: stock, targets: [!remove s2]}]\n"
                "routes: [{path: /new, service: stock}]\n",
            ),
        )
        lines = [str(difference) for difference in compare(before, after)]
        self.assertEqual(lines[1], "~ accounts.tills.burst: 400 -> 500")
        self.assertTrue(lines[0].startswith("- services.stock.targets.s2: address"))
        self.assertTrue(lines[2].startswith("+ routes./new: service stock"))
        self.assertEqual(compare(before, before), [])
        first = [str(difference) for difference in compare(None, before)]
        self.assertIn("+ data_centres.north: region land", first)
        self.assertTrue(any("stock: keyed True" in line for line in first), first)


if __name__ == "__main__":
    unittest.main()
