"""Tests of the package; ``python -m magnoliarouter.tests`` runs them all."""
