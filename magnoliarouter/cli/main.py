"""Command `magnoliactl`: contracts, endpoints, groups and status, for operators."""

from __future__ import annotations

import sys

from cleo.application import Application

from magnoliarouter import __version__

__all__ = ["build_application", "main"]


def build_application() -> Application:
    """Return the application with all its commands."""
    return Application("magnoliactl", __version__)


def main() -> int:
    """Run the command named on the command line and return its exit code."""
    return build_application().run()


if __name__ == "__main__":
    sys.exit(main())
