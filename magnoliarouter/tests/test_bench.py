from __future__ import annotations

import os
import unittest

from magnoliarouter.pipeline.deliver import LAST_FRAME
from magnoliarouter.standins.bench.answers import TOKENS, classify_response
from magnoliarouter.standins.bench.experiment import Report, percentile
from magnoliarouter.standins.bench.fit import fit_line
from magnoliarouter.standins.bench.main import load_experiments
from magnoliarouter.standins.bench.measure import ProcessReading, read_process
from magnoliarouter.standins.bench.soak import ProcessSeries
from magnoliarouter.standins.load import CompletionRequest, CompletionResult
from magnoliarouter.standins.unruly import expected_words


class BenchTest(unittest.TestCase):
    def test_experiments_have_names_and_summaries(self):
        for name, experiment in load_experiments().items():
            self.assertEqual(name, experiment.name)
            self.assertGreater(len(experiment.summary), 20)

    def test_missed_target_is_not_ok(self):
        report = Report()
        report.expect(True, "met")
        self.assertTrue(report.ok)
        report.expect(False, "missed")
        self.assertEqual((report.ok, report.missed), (False, ["missed"]))

    def test_percentile(self):
        self.assertEqual(percentile([float(x) for x in range(100)], 0.95), 95.0)
        with self.assertRaises(ValueError):
            percentile([], 0.5)

    def test_fit_line(self):
        line = fit_line([(0, 1.0), (10, 3.0), (20, 5.0)])
        self.assertAlmostEqual(line.at(600), 121.0)

    def test_read_own_process(self):
        reading = read_process(os.getpid())
        self.assertGreater(reading.cpu_seconds, 0)
        self.assertGreater(reading.resident_bytes, reading.anonymous_bytes)

    def test_right_wrong_and_failed_responses_are_classified(self):
        request = CompletionRequest("", "", "a", TOKENS)
        frames = [
            b'data: {"choices":[{"text":"%s"}]}\n\n' % word.encode()
            for word in expected_words("a", TOKENS)
        ]
        right = b"".join(frames) + LAST_FRAME
        short = b"".join(frames[:-1]) + LAST_FRAME
        self.assertEqual(
            classify_response(request, CompletionResult(200, complete=True, body=right)), "right"
        )
        self.assertEqual(
            classify_response(request, CompletionResult(200, complete=True, body=short)), "wrong"
        )
        self.assertEqual(
            classify_response(request, CompletionResult(200, complete=False, body=short)), "error"
        )


class ProcessSeriesTest(unittest.TestCase):
    """Growth of a process, computed from the readings that a soak collects."""

    def build_series(self, resident, descriptors):
        series = ProcessSeries()
        for second, (resident_megabytes, descriptor_count) in enumerate(
            zip(resident, descriptors, strict=True)
        ):
            series.times.append(float(second))
            reading = ProcessReading(0.0, int(resident_megabytes * 1_000_000), 0, descriptor_count)
            series.readings.append(reading)
        return series

    def test_growth_is_measured_over_the_second_half(self):
        plateaued = self.build_series([10.0 + min(n, 30) for n in range(60)], [20] * 60)
        self.assertAlmostEqual(plateaued.measure_growth(), 0.0, places=6)
        growing = self.build_series([10.0 + n / 60 for n in range(60)], range(60))
        self.assertAlmostEqual(growing.measure_growth(), 1.0, places=3)
        self.assertEqual(growing.count_descriptor_growth(), 30)
