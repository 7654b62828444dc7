"""Tests of `change_notifier`."""

import asyncio

from cowsliprill import change_notifier


class TestWait:
    """A task waits for changes until it is cancelled."""

    def test_ends_when_cancelled_at_the_moment_of_a_change(self):
        """Guards against a process that goes on instead of ending."""

        async def wait_for_changes(notifier):
            while True:
                await notifier.wait(60.0)

        async def main():
            notifier = change_notifier.ChangeNotifier()
            task = asyncio.create_task(wait_for_changes(notifier))
            # Lets the task and the wait within it begin.
            for _ in range(3):
                await asyncio.sleep(0)
            notifier.notify()
            # The wait has ended, the task hasn't seen it yet.
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait([task], timeout=1.0)
            return task.cancelled()

        assert asyncio.run(main())

    def test_ends_at_a_change_or_the_timeout(self):
        async def main():
            notifier = change_notifier.ChangeNotifier()
            changed = asyncio.create_task(notifier.wait(60.0))
            missed = await notifier.wait(0.01)
            notifier.notify()
            return missed, await changed

        assert asyncio.run(main()) == (False, True)
