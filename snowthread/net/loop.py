"""One epoll loop: generators as coroutines, and timers in a heap.

A coroutine yields a :class:`Wait` and is resumed with the epoll mask that came, or with 0 when its time is
up or somebody woke it. An exception ends the coroutine it came from and nothing else.
"""

from __future__ import annotations

import heapq
import itertools
import math
import select
import socket
from collections import deque
from collections.abc import Callable, Generator
from typing import NamedTuple

from loguru import logger

from snowthread.net.clock import Clock

CANCELLED_MAX = 256  # timers taken back that may lie in the heap whatever its size
POLL_MAX_S = 3600.0  # longest sleep: epoll takes no endless times

READABLE, WRITABLE, HANGUP = select.EPOLLIN, select.EPOLLOUT, select.EPOLLHUP | select.EPOLLERR


class Wait(NamedTuple):
    """What a coroutine waits for: a file descriptor to be ready, a time, or to be woken."""

    fd: int = -1
    mask: int = 0
    until: float = math.inf


TaskSteps = Generator[Wait, int, None]
Timer = list[Callable[[], None]]  # empty once it fired or was taken back


class Task:
    """A running coroutine."""

    __slots__ = ("begun", "fd", "mask", "steps", "timer", "woken")

    def __init__(self, steps: TaskSteps) -> None:
        self.steps: TaskSteps | None = steps
        self.fd, self.mask = -1, 0
        self.timer: Timer | None = None
        self.begun = self.woken = False


class EventLoop:
    """Runs tasks and timers until stopped."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._epoll = select.epoll()
        self._by_fd: dict[int, Task] = {}
        self._tasks: dict[Task, None] = {}
        self._ready: deque[Task] = deque()
        self._timers: list[tuple[float, int, Timer]] = []
        self._cancelled = 0  # timers in the heap that were taken back
        self._order = itertools.count()
        self._stopped = False

    def spawn(self, steps: TaskSteps) -> Task:
        """Start a coroutine; its first step runs in the loop's next round."""
        task = Task(steps)
        self._tasks[task] = None
        self.wake(task)
        return task

    def wake(self, task: Task) -> None:
        """Resume a task with 0 soon, whatever it waits for."""
        if not task.woken and task.steps is not None:
            task.woken = True
            self._ready.append(task)

    def call_at(self, when: float, call: Callable[[], None]) -> Timer:
        """Call at a time; the timer can be cancelled."""
        timer: Timer = [call]
        heapq.heappush(self._timers, (when, next(self._order), timer))
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Take a timer back; one that fired already is left alone. Where most of the heap was taken back it
        is made anew: calls that end early would else leave their limits behind by the thousand."""
        if timer:
            timer.clear()
            self._cancelled += 1
            if self._cancelled > max(CANCELLED_MAX, len(self._timers) // 2):
                self._timers = [entry for entry in self._timers if entry[2]]
                heapq.heapify(self._timers)
                self._cancelled = 0

    def close(self, sock: socket.socket) -> None:
        """Close a socket. Its number may be another's at once, so nothing may still be watched under it."""
        self.unwatch(sock.fileno())
        sock.close()

    def unwatch(self, fd: int) -> None:
        """Watch a descriptor no more; to be called before it is closed."""
        task = self._by_fd.pop(fd, None)
        if task is not None:
            task.fd = -1
            self._epoll.unregister(fd)

    def stop(self) -> None:
        """Return from :meth:`run` at the end of this round."""
        self._stopped = True

    def run(self) -> None:
        """Run until stopped."""
        while not self._stopped:
            self.run_once(POLL_MAX_S)
        self._close_tasks()

    def _close_tasks(self) -> None:
        """End what still waits while its descriptors can be put away: left to the interpreter's exit, the
        coroutines would find the loop gone and fail one by one."""
        for task in list(self._tasks):
            self.end_task(task)
        self._epoll.close()

    def run_once(self, longest_s: float) -> None:
        """One round: what is ready, what came, what is due."""
        for _ in range(len(self._ready)):
            task = self._ready.popleft()
            task.woken = False
            self._resume(task, 0)
        while self._timers and not self._timers[0][2]:
            heapq.heappop(self._timers)
            self._cancelled -= 1
        wait = longest_s
        if self._ready:
            wait = 0.0
        elif self._timers:
            wait = min(wait, max(0.0, (self._timers[0][0] - self.clock.now()) / 1000.0))
        for fd, mask in self._epoll.poll(wait):
            watcher = self._by_fd.get(fd)
            if watcher is not None:
                self._resume(watcher, mask)
        now = self.clock.now()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if not timer:
                self._cancelled -= 1
            else:
                try:
                    timer.pop()()
                except Exception:
                    logger.exception("a timer failed")

    def _resume(self, task: Task, mask: int) -> None:
        if task.steps is None:
            return
        self.cancel(task.timer)
        task.timer = None
        try:
            wait = task.steps.send(mask) if task.begun else next(task.steps)
            task.begun = True
        except StopIteration:
            self._end(task)
        except Exception:  # exceptions stop here: one connection's trouble is not another's
            logger.exception("a coroutine failed")
            self._end(task)
        else:
            self._park(task, wait)

    def _park(self, task: Task, wait: Wait) -> None:
        if wait.fd != task.fd:
            self._unwatch(task)
            if wait.fd >= 0:
                self._epoll.register(wait.fd, wait.mask)
                self._by_fd[wait.fd] = task
            task.fd, task.mask = wait.fd, wait.mask
        elif wait.fd >= 0 and wait.mask != task.mask:
            self._epoll.modify(wait.fd, wait.mask)
            task.mask = wait.mask
        if wait.until < math.inf:
            task.timer = self.call_at(wait.until, lambda: self.wake(task))

    def _unwatch(self, task: Task) -> None:
        if task.fd >= 0 and self._by_fd.get(task.fd) is task:
            del self._by_fd[task.fd]
            self._epoll.unregister(task.fd)
        task.fd = -1

    def end_task(self, task: Task) -> None:
        """End a task now; it runs what it has to run on its way out."""
        if task.steps is not None:
            task.steps.close()
        self._end(task)

    def _end(self, task: Task) -> None:
        self._unwatch(task)
        self._tasks.pop(task, None)
        task.steps = None
