"""Prometheus metrics of a daemon."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from magnoliarouter.core.outcome import ResultCode

__all__ = ["Metrics"]

FIRST_TOKEN_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 5.0, 10.0)
INTER_TOKEN_BUCKETS_S = (0.005, 0.01, 0.02, 0.03, 0.043, 0.06, 0.1, 0.2, 0.5, 1.0)


class Metrics:
    """Metrics of one daemon in a registry of its own.

    Attributes
    ----------
    requests : Counter
        Requests by result code and outcome.
    refusals : Counter
        Requests refused as not run, by result code.
    retries : Counter
        Retries by the result code that caused them.
    retries_refused : Counter
        Retries not made because the retry budget was used up, by the result code of the failed
        attempt.
    ejections : Counter
        Ejections of endpoints after failures.
    notices : Counter
        Notices of endpoints by kind: that they leave, that they want a pause, or a malformed one.
    withheld_requests : Counter
        Requests that were placed and not sent, since the endpoint had withdrawn meanwhile.
    placements : Counter
        Placements by whether the prefix index listed the prefix at the endpoint, and by zone.
    zone_choices : Counter
        Calls that left the availability zone, or stayed while others left, by reason.
    index_resets : Counter
        Prefix indexes of endpoints that were cleared after a gap in cache events.
    digest_failures : Counter
        Fetches of a zone's digest that no collector responded to, by availability zone.
    dropped_responses : Counter
        Responses dropped because they belong to no attempt in progress, by reason.
    tokens : Counter
        Tokens delivered to callers.
    first_token, inter_token : Histogram
        Time to the first token and between tokens, in seconds.
    queue_time, response_time : Histogram
        Time that a request waited for a concurrency slot, and time until its response was
        complete, in seconds.
    dropped_log_lines : Counter
        Log lines that were not written, by reason.
    in_flight : Gauge
        Requests in progress.
    evacuated_zones : Gauge
        Availability zones that the operator evacuates, as this daemon knows.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = self.add_counter("requests", "Requests ended", "code", "outcome")
        self.refusals = self.add_counter("refusals", "Requests refused as not run", "code")
        self.retries = self.add_counter("retries", "Retries by cause", "code")
        self.retries_refused = self.add_counter("retries_refused", "Retries over budget", "code")
        self.ejections = self.add_counter("ejections", "Endpoints ejected after failures")
        self.notices = self.add_counter("endpoint_notices", "Notices of endpoints", "kind")
        self.withheld_requests = self.add_counter(
            "requests_withheld", "Requests not sent: the endpoint withdrew, or it was too late"
        )
        self.placements = self.add_counter("placements", "Placements", "prefix", "zone")
        self.zone_choices = self.add_counter(
            "zone_choices", "Calls that left the zone, or stayed while others left", "reason"
        )
        self.index_resets = self.add_counter("index_resets", "Prefix indexes emptied after a gap")
        self.digest_failures = self.add_counter("digest_failures", "Digests not had", "zone")
        self.dropped_responses = self.add_counter("dropped_answers", "Answers dropped", "reason")
        self.tokens = self.add_counter("tokens", "Tokens delivered to callers")
        self.first_token = self.add_histogram(
            "first_token_seconds", "Time to first token", FIRST_TOKEN_BUCKETS_S
        )
        self.inter_token = self.add_histogram(
            "inter_token_seconds", "Time between tokens", INTER_TOKEN_BUCKETS_S
        )
        self.queue_time = self.add_histogram(
            "queued_seconds", "Time waiting for a place at an endpoint", FIRST_TOKEN_BUCKETS_S
        )
        self.response_time = self.add_histogram(
            "answered_seconds", "Time to the end of the answer", FIRST_TOKEN_BUCKETS_S
        )
        self.dropped_log_lines = self.add_counter(
            "log_lines_dropped", "Log lines not written", "reason"
        )
        self.in_flight = self.add_gauge("in_flight", "Requests in progress")
        self.evacuated_zones = self.add_gauge("evacuated_zones", "Zones that are evacuated")
        for code in ResultCode:
            self.refusals.labels(code.name.lower())

    def add_counter(self, name: str, text: str, *labels: str) -> Counter:
        """Register a counter ``magnoliarouter_<name>_total``."""
        return Counter(f"magnoliarouter_{name}", text, labels, registry=self.registry)

    def add_gauge(self, name: str, text: str, *labels: str) -> Gauge:
        """Register a gauge ``magnoliarouter_<name>``."""
        return Gauge(f"magnoliarouter_{name}", text, labels, registry=self.registry)

    def add_histogram(self, name: str, text: str, buckets: tuple[float, ...]) -> Histogram:
        """Register a histogram ``magnoliarouter_<name>`` with bucket bounds in its own unit."""
        return Histogram(f"magnoliarouter_{name}", text, buckets=buckets, registry=self.registry)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
