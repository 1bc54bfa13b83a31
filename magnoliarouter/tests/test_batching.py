from __future__ import annotations

import asyncio
import unittest

from magnoliarouter.standins.batching import Batch, BatchOptions, Job
from magnoliarouter.tests.clock import advance, run_paused, settle


def build_job(name="r", prompt="p", priority=0, max_tokens=2, generated=0):
    return Job(name, prompt, priority, max_tokens, generated)


class BatchTest(unittest.TestCase):
    def test_priority_decides_which_job_gets_the_free_slot(self):
        async def main():
            batch = Batch(BatchOptions(slots=1, step_seconds=0.1))
            jobs = [build_job(priority=priority) for priority in (0, 5, 1)]
            for job in jobs:
                batch.submit(job)
            await settle()
            self.assertEqual((batch.queued, batch.peak_queue), (2, 2))
            await advance(0.45)
            self.assertEqual([job.is_done for job in jobs], [True, False, True])

        run_paused(main())

    def test_cached_prefix_shortens_the_first_token(self):
        async def main():
            batch = Batch(BatchOptions(step_seconds=0.1, block_seconds=0.1))
            first, second = build_job(prompt="x" * 640), build_job(prompt="x" * 640 + "y")
            batch.submit(first)
            await advance(1.0)
            self.assertEqual(first.generated, 0)
            await advance(0.15)
            self.assertEqual(first.generated, 1)
            batch.submit(second)
            await advance(0.21)
            self.assertEqual((second.cached_blocks, second.generated > 0), (10, True))

        run_paused(main())

    def test_speed_divides_all_times(self):
        async def main():
            batch = Batch(BatchOptions(step_seconds=0.1, speed=0.25))
            job = build_job()
            batch.submit(job)
            await advance(0.39)
            self.assertEqual(job.generated, 0)
            await advance(0.02)
            self.assertEqual(job.generated, 1)

        run_paused(main())

    def test_cancelled_stream_is_resumed_by_id(self):
        async def main():
            batch = Batch(BatchOptions(step_seconds=0.1))
            job = build_job("r9", max_tokens=9)
            batch.submit(job)
            await advance(0.35)
            batch.cancel(job)
            await settle()
            self.assertEqual(batch.resume_point("r9", 2), 2)
            self.assertEqual(batch.resume_point("r9", 2), 0)
            self.assertEqual(batch.running, [])

        run_paused(main())

    def test_eviction_is_announced_and_lost_events_leave_a_gap(self):
        async def main():
            batch = Batch(BatchOptions(cache_blocks=2))
            batch.cache.load_prompt("a" * 128, 0.0)
            batch.cache.load_prompt("b" * 128, 0.0)
            stored, removed = batch.cache.events[0].stored, batch.cache.events[1].removed
            self.assertEqual(set(stored), set(removed))
            lossy = Batch(BatchOptions(event_loss_share=1.0))
            lossy.cache.load_prompt("a" * 128, 0.0)
            self.assertEqual((lossy.cache.sequence, len(lossy.cache.events)), (1, 0))

        run_paused(main())

    def test_batch_restarts_after_it_was_idle(self):
        async def main():
            batch = Batch(BatchOptions(step_seconds=0.1))
            for _ in range(2):
                job = build_job(max_tokens=1)
                batch.submit(job)
                await advance(0.3)
                self.assertTrue(job.is_done)
            await asyncio.sleep(0)

        run_paused(main())
