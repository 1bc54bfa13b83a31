from __future__ import annotations

import importlib.util
import re
import unittest
from pathlib import Path

from magnoliarouter.cli.main import build_application
from magnoliarouter.pages import list_metrics
from magnoliarouter.standins.bench.main import load_experiments

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "magnoliarouter"
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
LINK = re.compile(r"\]\((?!https?://)(?P<file>[^)#\s]*)(?:#(?P<anchor>[^)\s]+))?\)")
# A path within the package or the repository, such as `core/lease.py` or `docs/design/leases.md`.
FILE_PATH = re.compile(r"(?<![\w./-])(?P<path>(?:[\w.-]+/)+[\w-]+\.(?:py|md|toml))\b")
BENCH_COMMAND = re.compile(r"magnolia-bench\s+(?P<name>[a-z][a-z-]*)(?P<more>(?:\|[a-z-]+)*)")
MODULE_COMMAND = re.compile(r"python -m (?P<name>[a-z_]+(?:\.[a-z_]+)*)")
MAGNOLIACTL_COMMAND = re.compile(r"magnoliactl\s+(?P<words>[a-z]+(?:[ ][a-z]+(?:\|[a-z]+)*)?)")
# Commands are read from inline code, fenced blocks and indented blocks; other text is prose.
CODE_PART = re.compile(r"```.*?```|`[^`]+`|^ {4,}\S[^\n]*$", re.DOTALL | re.MULTILINE)
OPTION = re.compile(r"(?<!\S)--(?P<name>[a-z][a-z-]*)")
METRIC_NAME = re.compile(r"\b(?:magnoliarouter_(?P<name>[a-z_]*[a-z])|(?P<short>[a-z_]+_total))\b")


def read_pages() -> dict[str, str]:
    return {str(page.relative_to(ROOT)): page.read_text(encoding="utf-8") for page in PAGES}


def read_code(text: str) -> list[str]:
    return [part.strip("`") for part in CODE_PART.findall(text)]


def list_anchors(page: Path) -> set[str]:
    headings = re.findall(r"^#+ (.+)$", page.read_text(encoding="utf-8"), re.MULTILINE)
    return {re.sub(r"[^\w -]", "", heading.lower()).replace(" ", "-") for heading in headings}


class DocsTest(unittest.TestCase):
    def find_matches(
        self, pattern: re.Pattern[str], code_only: bool = True
    ) -> list[tuple[str, re.Match]]:
        found = []
        for page, text in read_pages().items():
            parts = read_code(text) if code_only else [text]
            found += [(page, match) for part in parts for match in pattern.finditer(part)]
        self.assertTrue(found)
        return found

    def test_links_resolve(self):
        broken = []
        for page, link in self.find_matches(LINK, code_only=False):
            target = (ROOT / page).parent / link["file"] if link["file"] else ROOT / page
            if not target.exists() or (
                link["anchor"] and link["anchor"] not in list_anchors(target)
            ):
                broken.append(f"{page}: {link[0]}")
        self.assertEqual(broken, [])

    def test_named_files_exist(self):
        missing = []
        for page, match in self.find_matches(FILE_PATH):
            bases = (ROOT, PACKAGE, (ROOT / page).parent, ROOT / "docs")
            if not any((base / match["path"]).exists() for base in bases):
                missing.append(f"{page}: {match['path']}")
        self.assertEqual(missing, [])

    def test_experiments_exist(self):
        known = {"list", *load_experiments()}
        named = {
            (page, name)
            for page, match in self.find_matches(BENCH_COMMAND)
            for name in (match["name"] + match["more"]).split("|")
        }
        self.assertEqual({item for item in named if item[1] not in known}, set())

    def test_operator_commands_exist(self):
        known = {name for name in build_application().all() if name}
        groups = {name.split()[0] for name in known if " " in name}
        unknown = []
        for page, match in self.find_matches(MAGNOLIACTL_COMMAND):
            first, _, second = match["words"].partition(" ")
            names = (
                [f"{first} {each}" for each in second.split("|")] if first in groups else [first]
            )
            unknown += [f"{page}: {name}" for name in names if name not in known]
        self.assertEqual(unknown, [])

    def test_options_of_operator_commands_exist(self):
        application, unknown, checked = build_application(), [], 0
        for page, text in read_pages().items():
            for line in (line for part in read_code(text) for line in part.splitlines()):
                match = MAGNOLIACTL_COMMAND.search(line)
                names = [match["words"], match["words"].split()[0]] if match else []
                name = next((name for name in names if application.has(name)), None)
                if name is None:
                    continue
                command = application.get(name)
                for option in OPTION.findall(line[match.end() :]):
                    checked += 1
                    if not command.definition.has_option(option):
                        unknown.append(f"{page}: {name} --{option}")
        self.assertGreater(checked, 5)
        self.assertEqual(unknown, [])

    def test_modules_are_found(self):
        named = {match["name"] for _, match in self.find_matches(MODULE_COMMAND)}
        self.assertEqual({name for name in named if not importlib.util.find_spec(name)}, set())

    def test_metrics_exist(self):
        known = {name.partition("{")[0].partition("_")[2] for name, _, _ in list_metrics()}
        named = {(page, m["name"] or m["short"]) for page, m in self.find_matches(METRIC_NAME)}
        self.assertEqual({item for item in named if item[1] not in known}, set())
