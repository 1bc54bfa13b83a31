"""Updates the generated blocks of hand-written pages: ``python -m magnoliarouter.pages``.

A generated block is a fenced block that follows a comment with its source. ``<!-- source NAME -->``
inserts the file of an example, ``<!-- output NAME -->`` the example's output, and
``<!-- metrics -->`` the metrics that the code registers. A test compares pages and sources.
"""

from __future__ import annotations

import ast
import contextlib
import importlib
import io
import re
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["FILLED_PAGES", "fill_page", "list_metrics", "run_example"]

PACKAGE = Path(__file__).parent
DOCS = PACKAGE.parent / "docs"
FILLED_PAGES = (DOCS / "EMBEDDING.md", DOCS / "operators" / "README.md")
GENERATED_BLOCK = re.compile(
    r"(?P<head><!-- (?P<kind>source|output|metrics)(?: (?P<name>\w+))? -->\n)```\w*\n.*?^```$",
    re.DOTALL | re.MULTILINE,
)
METRIC_CONSTRUCTORS = {
    "add_counter": ("counter", "_total"),
    "add_gauge": ("gauge", ""),
    "add_histogram": ("histogram", ""),
    "GaugeMetricFamily": ("gauge", ""),
    "CounterMetricFamily": ("counter", "_total"),
}
METRIC_PREFIX = "magnoliarouter_"


def fill_page(text: str) -> str:
    """Return a page with all its generated blocks up to date."""
    return GENERATED_BLOCK.sub(_fill_block, text)


def run_example(name: str) -> str:
    """Return the output of an example of `magnoliarouter.examples`."""
    module = importlib.import_module(f"magnoliarouter.examples.{name}")
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        module.main()
    return printed.getvalue()


def list_metrics() -> list[tuple[str, str, str]]:
    """Return name, kind and meaning of each metric that the package registers, sorted by name.

    Examples
    --------
    >>> [meaning for name, _, meaning in list_metrics() if name.endswith("_in_flight")]
    ['Requests in progress']
    """
    found = set()
    for path in PACKAGE.rglob("*.py"):
        if not path.is_relative_to(PACKAGE / "tests"):
            found |= set(_find_metrics(ast.parse(path.read_text(encoding="utf-8"))))
    return sorted(found)


def _find_metrics(tree: ast.AST) -> Iterator[tuple[str, str, str]]:
    for call in (node for node in ast.walk(tree) if isinstance(node, ast.Call)):
        function = call.func
        called = function.attr if isinstance(function, ast.Attribute) else ast.unparse(function)
        texts = [part.value for part in call.args if isinstance(part, ast.Constant)]
        texts = [text for text in texts if isinstance(text, str)]
        if called not in METRIC_CONSTRUCTORS or len(texts) < 2:
            continue
        kind, suffix = METRIC_CONSTRUCTORS[called]
        name = METRIC_PREFIX + texts[0].removeprefix(METRIC_PREFIX) + suffix
        labels = ",".join(texts[2:]) if called.startswith("add_") else _read_labels(call)
        yield f"{name}{{{labels}}}" if labels else name, kind, texts[1]


def _read_labels(call: ast.Call) -> str:
    values = [word.value for word in call.keywords if word.arg == "labels"]
    return ",".join(ast.literal_eval(values[0])) if values else ""


def _fill_block(block: re.Match[str]) -> str:
    match block["kind"]:
        case "source":
            path = PACKAGE / "examples" / f"{block['name']}.py"
            language, text = "python", path.read_text(encoding="utf-8")
        case "output":
            language, text = "text", run_example(block["name"])
        case _:
            lines = (f"{name}\n    {kind}: {text}" for name, kind, text in list_metrics())
            language, text = "text", "\n".join(lines) + "\n"
    return f"{block['head']}```{language}\n{text}```"


if __name__ == "__main__":
    for page in FILLED_PAGES:
        page.write_text(fill_page(page.read_text(encoding="utf-8")), encoding="utf-8")
