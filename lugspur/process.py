"""Start, signals and shutdown of the process of one proxy."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import socket
from collections.abc import Coroutine, Mapping
from pathlib import Path
from typing import Any

from lugspur import signals
from lugspur.config import Config, ConfigError, load, load_discovery
from lugspur.discovery import Reader
from lugspur.event_loop import run
from lugspur.events import AtOnceHandler, log, write_at_once
from lugspur.front import Front
from lugspur.orders import OrderBook, path_for
from lugspur.proxy import Proxy
from lugspur.reload import Reloader
from lugspur.sent_ids import IdExchange
from lugspur.trace import trace

LISTEN_LEAST, LISTEN_MOST = 0.45, 0.6  # seconds after SIGTERM in which new connections are still taken...
LISTEN_QUIET = 0.1  # ...until none has come for so long
GRACE_MOST, GRACE_MORE = 3.0, 0.7  # SIGKILL comes the longest deadline, and so much, after SIGTERM
END_EARLY = 0.2  # seconds before it in which all is to be answered: a late process must not be cut off
IDLE_PART = 0.5  # of that time after which idle callers are closed: what still comes then can be answered
CLOSE_AFTER = 0.02  # seconds in which what has just been accepted can still be read


async def serve(config: Config) -> None:
    """Run until SIGTERM, then finish what was taken."""
    loop = asyncio.get_running_loop()
    told = asyncio.Event()

    def end_of_service(number: signal.Signals) -> None:
        trace.record("process.signal", name=number.name)
        told.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end_of_service, number)
    orders, keeper = OrderBook(path_for(os.environ, config.name)), None
    if config.state_dir is not None:
        from lugspur.store.bans import DurableOrders  # Guards start and memory, as below.
        from lugspur.store.files import directory_for
        from lugspur.store.keeper import Keeper

        keeper = Keeper(config.state_dir, config.name)
        try:
            orders = DurableOrders(directory_for(config.state_dir, config.name), config.name)
        except OSError as fault:  # the orders stay where they are without a state directory
            log.error("orders.fault", file=str(config.state_dir), error=str(fault.strerror))

    trace.record("process.started", listen=config.listen, discovery=config.discovery,
                 mode=config.settings.discovery.value, known=config.known.get("index"),
                 drain_grace=config.settings.rules.drain_grace, ask_within=config.settings.rules.ask_within)
    proxy = Proxy(config, orders, keeper)
    reloader = reloader_for(proxy, os.environ)
    loop.add_signal_handler(signal.SIGHUP, reloader.request)
    signals.release()
    front = proxy.front
    if config.admin is not None:
        await proxy.admin.listen(config.admin)
    node = None
    if config.membership is not None:
        from lugspur.cluster.node import Node  # Guards start and memory: loaded only where it is used.

        last = keeper.incarnation if keeper is not None else 0
        node = Node(config.name, config.membership, config.seed, last)
        proxy.join(node)
        await node.open()
        rules = config.settings.sharing
        if rules is not None:
            from lugspur.cluster.sharing import Sharing

            proxy.share(lambda balancer, clock, tell: Sharing(node, balancer, rules.staleness, clock, tell))
        if config.subsetting:
            from lugspur.cluster.subsetting import Subsetting

            proxy.follow(lambda balancer, clock, tell: Subsetting(node, balancer, clock, tell))
    if config.listen_fd is not None:
        # The other process takes the callers until this one can: nobody is served by a list not yet loaded.
        await first_of(told.wait(), front.loaded.wait())
        if told.is_set():
            if node is not None:
                await node.close()
            return
        ids_path = path_for(os.environ, config.name)
        if ids_path is not None:
            ids = IdExchange(proxy.sent_ids, ids_path, proxy.file_executor)
            await ids.open()
    listener = await front.listen()
    trace.record("process.listening", loaded=front.loaded.is_set())
    gc.collect()
    gc.freeze()
    await told.wait()
    if node is not None:
        await node.close()  # first of all: nobody is to count on a process that ends
    if config.listen_fd is None:
        await drain(front, listener)
    else:
        proxy.make_room()
        await hand_over(front)
    if config.admin is not None:
        await proxy.admin.finish()
    if keeper is not None:
        await keeper.close()
    proxy.close()
    trace.record("process.ended")
    trace.flush()
    # Guards the exit status: the loop takes its handlers away as it closes, and a further signal would kill.
    signals.hold_for_good()


async def first_of(*events: Coroutine[Any, Any, Any]) -> None:
    """Wait until one of them is done, and drop the others."""
    tasks = [asyncio.ensure_future(event) for event in events]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


def reloader_for(proxy: Proxy, environ: Mapping[str, str]) -> Reloader:
    """What follows discovery's address in the configuration file that this environment names."""
    path = environ.get("RELAY_CONFIG")
    reloader = Reloader(Path(path) if path else None, lambda: load_discovery(environ), proxy.reload, complain)
    proxy.call_failed = reloader.check
    return reloader


async def rest(seconds: float) -> None:
    """Sleep; a failed allocation shortens it, and must not end the process before its time."""
    try:
        await asyncio.sleep(seconds)
    except MemoryError:
        await asyncio.sleep(0)


async def hand_over(front: Front) -> None:
    """Let the callers go over to the process that listens on the same socket, and end after the last."""
    grace = end(front)
    front.closing = True
    front.leave_listener()
    # Most callers leave by an answer that closes; one that is closed while idle may just be sending.
    await rest(IDLE_PART * grace)
    await let_go(front)


def end(front: Front) -> float:
    """Begin to end: what comes from here on is answered before SIGKILL, so many seconds away, may come."""
    longest = max(row.deadline for row in front.config.settings.classes)
    grace = min(longest, GRACE_MOST) + GRACE_MORE
    front.serving = False
    front.ending = True
    front.until = asyncio.get_running_loop().time() + grace - END_EARLY
    return grace


async def let_go(front: Front) -> None:
    """Close what is idle, and wait until all callers have had their answers and are gone."""
    front.close()
    while front.callers:
        front.end_due(asyncio.get_running_loop().time())
        await rest(0.01)


async def drain(front: Front, listener: socket.socket) -> None:
    """Take what is still coming, answer all that was taken, and let go of the callers."""
    loop = asyncio.get_running_loop()
    end(front)
    # Guards what is on its way: the callers' front goes on sending connections for a moment.
    begun = loop.time()
    while (passed := loop.time() - begun) < LISTEN_MOST:
        if passed >= LISTEN_LEAST and loop.time() - front.last_accept >= LISTEN_QUIET:
            break
        await rest(0.02)
    await front.stop_listening(listener)
    await rest(CLOSE_AFTER)
    await let_go(front)


def complain(fault: Exception) -> None:
    """The command's own word on why it can't do what it was told: one plain line, as whoever starts it
    reads.
    """
    write_at_once(f"lugspur: {fault}\n".encode(errors="backslashreplace"))


def main() -> int:
    """Run with the configuration that the environment names."""
    signals.hold()
    logging.basicConfig(handlers=[AtOnceHandler()], level=logging.WARNING)
    try:
        config = load(os.environ)
        log.node, log.muted = config.name, config.muted
        Reader(config.zones, config.types).check(config.known)
    except ConfigError as fault:
        complain(fault)
        return 2
    try:
        run(serve(config))
    except OSError as fault:
        complain(fault)
        return 1
    return 0
