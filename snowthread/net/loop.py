"""An event loop on epoll: generators as coroutines, and timers in a heap.

A coroutine yields a :class:`Wait` and is resumed with the epoll mask of what happened, or with 0 when its
time is up or its task was woken. An exception ends the coroutine that it came from and nothing else.

One round of the loop resumes the tasks that were woken, then those whose sockets are ready, then runs the
timers that are due. All times are Unix milliseconds by the loop's clock.
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

from snowthread.net.clock import MS_PER_S, Clock

CANCELLED_TIMERS_MAX = 256  # cancelled timers that may lie in the heap, however small it is
POLL_MAX_S = 3600.0  # the longest sleep: epoll takes no infinite timeout as a float
NO_DESCRIPTOR = -1

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
HANGUP = select.EPOLLHUP | select.EPOLLERR


class Wait(NamedTuple):
    """What a coroutine waits for: a file descriptor to be ready, a time in milliseconds, or to be woken."""

    fd: int = NO_DESCRIPTOR
    mask: int = 0
    until_ms: float = math.inf


Coroutine = Generator[Wait, int, None]
"""A coroutine: yields what it waits for and is sent the epoll mask of what happened."""

Timer = list[Callable[[], None]]
"""A scheduled call, to cancel it by; empty once it was called or cancelled.

A list, and not a class of ours, as each wait with a timeout makes one.
"""


class Task:
    """A running coroutine."""

    __slots__ = ("coroutine", "fd", "mask", "started", "timer", "woken")

    def __init__(self, coroutine: Coroutine) -> None:
        self.coroutine: Coroutine | None = coroutine  # None once it has ended
        self.fd = NO_DESCRIPTOR  # what it waits for, and for which of its events
        self.mask = 0
        self.timer: Timer | None = None  # of the wait's time
        self.started = False
        self.woken = False


class EventLoop:
    """Runs tasks and timers until stopped."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._epoll = select.epoll()
        self._task_by_fd: dict[int, Task] = {}
        self._tasks: dict[Task, None] = {}  # in the order in which they were spawned
        self._woken_tasks: deque[Task] = deque()
        self._timers: list[tuple[float, int, Timer]] = []  # a heap of time, sequence number, call
        self._cancelled_timers = 0  # in the heap
        self._timer_numbers = itertools.count()  # timers of one time run in the order they were made in
        self._stopped = False

    def spawn(self, coroutine: Coroutine) -> Task:
        """Start a coroutine; its first step runs in the loop's next round."""
        task = Task(coroutine)
        self._tasks[task] = None
        self.wake(task)
        return task

    def wake(self, task: Task) -> None:
        """Resume a task with 0 in the next round, whatever it waits for."""
        if not task.woken and task.coroutine is not None:
            task.woken = True
            self._woken_tasks.append(task)

    def call_at(self, at_ms: float, callback: Callable[[], None]) -> Timer:
        """Call at a time in milliseconds; return the timer to cancel it by."""
        timer: Timer = [callback]
        heapq.heappush(self._timers, (at_ms, next(self._timer_numbers), timer))
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Cancel a timer; one that was called already is left as it is.

        Where most of the heap is cancelled it is rebuilt: calls that end early would otherwise leave their
        timeouts behind by the thousand.
        """
        if timer:
            timer.clear()
            self._cancelled_timers += 1
            if self._cancelled_timers > max(CANCELLED_TIMERS_MAX, len(self._timers) // 2):
                self._timers = [entry for entry in self._timers if entry[2]]
                heapq.heapify(self._timers)
                self._cancelled_timers = 0

    def close(self, sock: socket.socket) -> None:
        """Close a socket. Its number may be reused at once, so nothing may still be watched under it."""
        self.unwatch(sock.fileno())
        sock.close()

    def unwatch(self, fd: int) -> None:
        """Stop watching a descriptor; to be called before it is closed."""
        task = self._task_by_fd.pop(fd, None)
        if task is not None:
            task.fd = NO_DESCRIPTOR
            self._epoll.unregister(fd)

    def stop(self) -> None:
        """Return from :meth:`run` at the end of this round."""
        self._stopped = True

    def run(self) -> None:
        """Run until stopped."""
        while not self._stopped:
            self.run_once(POLL_MAX_S)
        self.end_all_tasks()

    def end_all_tasks(self) -> None:
        """End the tasks that still wait, while the loop can still unwatch their descriptors.

        Left to the interpreter's exit, the coroutines would find the loop gone and fail one by one.
        """
        for task in list(self._tasks):
            self.end_task(task)
        self._epoll.close()

    def run_once(self, max_sleep_s: float) -> None:
        """Run one round, which sleeps for at most so many seconds where nothing is ready."""
        # In one function, for it runs thousands of times a second.
        for _ in range(len(self._woken_tasks)):
            task = self._woken_tasks.popleft()
            task.woken = False
            self._resume(task, 0)
        while self._timers and not self._timers[0][2]:
            heapq.heappop(self._timers)
            self._cancelled_timers -= 1
        sleep_s = max_sleep_s
        if self._woken_tasks:
            sleep_s = 0.0
        elif self._timers:
            sleep_s = min(max_sleep_s, max(0.0, (self._timers[0][0] - self.clock.now()) / MS_PER_S))
        for fd, mask in self._epoll.poll(sleep_s):
            watcher = self._task_by_fd.get(fd)
            if watcher is not None:
                self._resume(watcher, mask)
        now = self.clock.now()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if not timer:
                self._cancelled_timers -= 1
                continue
            try:
                timer.pop()()
            except Exception:  # noqa: BLE001  # one timer's failure is not another's
                logger.exception("a timer failed")

    def _resume(self, task: Task, mask: int) -> None:
        if task.coroutine is None:
            return
        self.cancel(task.timer)
        task.timer = None
        try:
            wait = task.coroutine.send(mask) if task.started else next(task.coroutine)
            task.started = True
        except StopIteration:
            self._end(task)
        except Exception:  # noqa: BLE001  # exceptions stop here: one connection's failure is not another's
            logger.exception("a coroutine failed")
            self._end(task)
        else:
            self._suspend(task, wait)

    def _suspend(self, task: Task, wait: Wait) -> None:
        """Watch for what a task waits for; most wait for the same descriptor again."""
        if wait.fd != task.fd:
            self._unwatch_task(task)
            if wait.fd >= 0:
                self._epoll.register(wait.fd, wait.mask)
                self._task_by_fd[wait.fd] = task
            task.fd = wait.fd
            task.mask = wait.mask
        elif wait.fd >= 0 and wait.mask != task.mask:
            self._epoll.modify(wait.fd, wait.mask)
            task.mask = wait.mask
        if wait.until_ms < math.inf:
            task.timer = self.call_at(wait.until_ms, lambda: self.wake(task))

    def _unwatch_task(self, task: Task) -> None:
        if task.fd >= 0 and self._task_by_fd.get(task.fd) is task:
            del self._task_by_fd[task.fd]
            self._epoll.unregister(task.fd)
        task.fd = NO_DESCRIPTOR

    def end_task(self, task: Task) -> None:
        """End a task now; its ``finally`` blocks run."""
        if task.coroutine is not None:
            task.coroutine.close()
        self._end(task)

    def _end(self, task: Task) -> None:
        self._unwatch_task(task)
        self._tasks.pop(task, None)
        task.coroutine = None
