"""Signals, ports and settings files that meet routers while they start, run and end."""

import asyncio
import os
import random
import signal
import socket

from tests.soak.platform import Platform, Router

LONGEST_END_S = 30.0
# Until a caller notices the end of a process.
CUT_NOTICED_S = 0.2
_START_S = 0.3
_PAUSE_S = 0.4


class Lifecycle:
    """Disturbs one router after the other until the soak ends."""

    def __init__(self, platform: Platform, seed: int) -> None:
        self._platform = platform
        self._random = random.Random(seed)
        self.disturbances: list[str] = []
        # (address, begin, end) of each orderly shutdown of a router
        self.shutdowns: list[tuple[str, float, float]] = []
        # Held by faults that count what routers know from answers they have had: one
        # that starts in between has had none.
        self.undisturbed = asyncio.Lock()

    async def run(self, until: float) -> None:
        clock = asyncio.get_running_loop().time
        kinds = [self._reload, self._signals_at_the_start, self._stop_at_the_start,
                 self._successor, self._port_in_use, self._settings_in_parts,
                 self._signals_in_a_drain]
        remaining: list = []
        while clock() < until:
            remaining = remaining or self._random.sample(kinds, len(kinds))
            kind = remaining.pop()
            router = self._random.choice(self._platform.routers)
            async with self.undisturbed, router.lock:
                self.disturbances.append(kind.__name__.strip("_"))
                await kind(router)
            await asyncio.sleep(self._random.uniform(0, _PAUSE_S))

    async def _series(self, router: Router, numbers: list[int], within_s: float) -> None:
        for number in numbers:
            router.send(number)
            await asyncio.sleep(self._random.uniform(0, within_s / len(numbers)))

    async def _reload(self, router: Router) -> None:
        """Reloads in series, half of them with settings that are written in parts."""
        await router.wait_until_signals_are_held()
        for _ in range(self._random.randint(1, 6)):
            if self._random.random() < 0.5:
                self._write_part(router)
            await self._series(router, [signal.SIGHUP] * self._random.randint(1, 10), 0.05)
            router.write_settings()
        router.send(signal.SIGHUP)

    async def _signals_at_the_start(self, router: Router) -> None:
        await router.end(self._random.choice([signal.SIGKILL, signal.SIGTERM]), LONGEST_END_S)
        await router.start()
        await router.wait_until_signals_are_held()
        await self._series(router, [signal.SIGHUP] * self._random.randint(1, 20), _START_S)

    async def _stop_at_the_start(self, router: Router) -> None:
        await router.end(signal.SIGKILL, LONGEST_END_S)
        await router.start()
        await asyncio.sleep(self._random.uniform(0, _START_S))
        await router.end(self._random.choice([signal.SIGTERM, signal.SIGINT]), LONGEST_END_S)
        await router.start()

    async def _successor(self, router: Router) -> None:
        """Starts a successor before its predecessor has ended."""
        await router.wait_until_signals_are_held()
        router.send(signal.SIGTERM)
        predecessor = router.process
        begin = asyncio.get_running_loop().time()
        await asyncio.sleep(self._random.uniform(0, 1))
        await router.start()
        await self._note_shutdown(router, predecessor, begin)

    async def _port_in_use(self, router: Router) -> None:
        await router.end(signal.SIGKILL, LONGEST_END_S)
        port = self._random.choice([router.front, router.ready, router.directory,
                                    router.metrics, router.loads])
        with socket.socket() as held:
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            held.bind(("127.0.0.1", port))
            held.listen()
            await router.start()
            await asyncio.sleep(self._random.uniform(0.05, 1))

    async def _settings_in_parts(self, router: Router) -> None:
        await router.end(signal.SIGKILL, LONGEST_END_S)
        self._write_part(router)
        await router.spawn()
        await asyncio.sleep(self._random.uniform(0, 1))
        router.write_settings()

    async def _signals_in_a_drain(self, router: Router) -> None:
        """Signals of all kinds in series while a router drains and the configuration
        changes."""
        await router.wait_until_signals_are_held()
        router.send(signal.SIGTERM)
        begin = asyncio.get_running_loop().time()
        numbers = self._random.choices([signal.SIGHUP, signal.SIGTERM, signal.SIGINT], k=20)
        series = asyncio.create_task(self._series(router, numbers, 4))
        self._platform.publish()
        await self._note_shutdown(router, router.process, begin)
        await series
        await router.start()

    async def _note_shutdown(self, router: Router, process: asyncio.subprocess.Process,
                             begin: float) -> None:
        await router.note_end(process, signal.SIGTERM, LONGEST_END_S)
        end = asyncio.get_running_loop().time()
        self.shutdowns.append((f"127.0.0.1:{router.front}", begin, end))
        # Until callers have noticed it, no other end may follow.
        await asyncio.sleep(CUT_NOTICED_S)

    def _write_part(self, router: Router) -> None:
        # Without the last table, which routers can't do without.
        whole = router.settings()
        longest = whole.index("[platform]")
        with open(router.settings_path, "w", encoding="ascii") as file:
            file.write(whole[:self._random.randrange(longest)])
            os.fsync(file.fileno())
