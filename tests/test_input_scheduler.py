"""Tests of the order in which connections parse their input, and of how much they parse in a loop turn."""

import asyncio

from heronwinch.net.input_scheduler import SLICES_PER_TURN, InputScheduler


def run(scenario):
    async def main():
        await scenario(InputScheduler(asyncio.get_running_loop()))

    asyncio.run(main())


def test_slices_of_one_loop_turn_are_bounded_and_nobody_waits_for_ever():
    async def scenario(scheduler):
        grants_by_turn, is_over = [0], False

        def begin_turn():
            grants_by_turn.append(0)
            if not is_over:
                scheduler.loop.call_soon(begin_turn)

        async def parse():
            for slices_taken in range(10):
                await scheduler.begin_slice(slices_taken, True)
                grants_by_turn[-1] += 1

        begin_turn()
        await asyncio.gather(*(parse() for _ in range(100)))
        is_over = True
        # Those that need not wait may follow those that waited in the same turn of the event loop.
        assert sum(grants_by_turn) == 1000 and max(grants_by_turn) <= 2 * SLICES_PER_TURN

    run(scenario)


async def take_all_slices(scheduler):
    for _ in range(SLICES_PER_TURN):
        await scheduler.begin_slice(0, True)


def test_cheap_requests_go_first_then_known_clients_then_by_arrival():
    async def scenario(scheduler):
        order = []

        async def parse(name, slices_taken, is_new_client):
            await scheduler.begin_slice(slices_taken, is_new_client)
            order.append(name)

        await asyncio.gather(
            take_all_slices(scheduler),
            parse("costly", 9, False),
            parse("new", 0, True),
            parse("later", 0, True),
            parse("known", 0, False),
        )
        assert order == ["known", "new", "later", "costly"]

    run(scenario)


def test_a_cancelled_task_takes_no_slice():
    async def scenario(scheduler):
        taken, take_slices = [], scheduler._take_slices
        scheduler._take_slices = lambda count: (taken.append(count), take_slices(count))
        tasks = [asyncio.create_task(take_all_slices(scheduler))]
        tasks += [asyncio.create_task(scheduler.begin_slice(0, True)) for _ in range(2)]
        scheduler.loop.call_soon(tasks[1].cancel)  # while it waits
        await asyncio.wait(tasks)
        assert tasks[1].cancelled() and not scheduler.waiting and sum(taken) == SLICES_PER_TURN + 1

    run(scenario)
