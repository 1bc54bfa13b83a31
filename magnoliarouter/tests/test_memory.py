from __future__ import annotations

import asyncio
import random
import unittest

from magnoliarouter.tests.clock import run_auto_advance
from magnoliarouter.web.memory import ByteBudget, Reservation


class ByteBudgetTest(unittest.TestCase):
    def test_turns_are_kept_and_nothing_is_lost_when_waits_are_cancelled(self):
        async def main():
            budget, dice, most, served = ByteBudget(10), random.Random(1), [0], []

            async def use(number):
                reservation = Reservation()
                try:
                    async with asyncio.timeout(dice.choice((0.0, 0.5, 2.0, 60.0))):
                        await reservation.acquire(budget, dice.choice((1, 4, 10, 25)))
                        most[0] = max(most[0], budget.reserved)
                        await asyncio.sleep(dice.random())
                        served.append(number)
                except TimeoutError:
                    pass
                finally:
                    reservation.release()

            await asyncio.gather(*(use(number) for number in range(400)))
            return budget.reserved, most[0], len(served)

        reserved, most, served = run_auto_advance(main())
        self.assertEqual((reserved, most), (0, 10))
        self.assertGreater(served, 50)


if __name__ == "__main__":
    unittest.main()
