"""LOST: a gate that starts while a primary is being replaced acknowledges commits that the new primary lacks."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from world2 import LIMIT, Client, Gate, Store, config, heartbeats, main, now, promote, start_cluster  # noqa: E402

WITHOUT = os.environ.get("WITHOUT", "")  # leaves one disruption out: cut, silent or restart
CUT_S = 5.0  # primary_cut of the site file: a share of 0.45 to 0.65, 5 to 7 s; here three of five gates
START_S = float(os.environ.get("START_S", "0.5"))  # front-n starts so long after the beginning of the cut
RESTART_S = float(os.environ.get("RESTART_S", "0.1"))  # the replica crashes so long after the call of the promote
DOWN_S = 0.1  # and is back so long after its crash
EFFECT_S = 1.0  # "1,000 ms a promote" (SYSTEM.md, libro-socios)


class StoreLink:
    """The path of one gate to the store. Connections that are open may go silent for good; new ones work."""

    def __init__(self, store, record):
        self.store, self.record, self.armed, self.open = store, record, False, {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=LIMIT)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        waits = []
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            call = head.split(b" ")[1].decode().split("?")[0]
            fields = dict(l.lower().split(b":", 1) for l in head.split(b"\r\n")[1:] if b":" in l)
            body = await reader.readexactly(int(fields.get(b"content-length", b"0")))
            silent = asyncio.Event()
            self.open[writer] = (call, silent)
            if self.armed and call == "/kv-lease":
                self.armed = False
                self.record.line("the connections that front-n has open to the store go silent: "
                                 + ", ".join(sorted(c for c, _ in self.open.values())))
                for _, event in self.open.values():
                    event.set()
            if silent.is_set():
                await asyncio.sleep(60)
            store_reader, store_writer = await asyncio.open_connection("127.0.0.1", int(self.store.address.split(":")[1]))
            store_writer.write(head + body)
            answer = asyncio.ensure_future(store_reader.read())
            wait = asyncio.ensure_future(silent.wait())
            waits = [answer, wait]
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            if silent.is_set():
                await asyncio.sleep(60)
            writer.write(answer.result())
            await writer.drain()
            store_writer.close()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            for waiting in waits:
                waiting.cancel()
            self.open.pop(writer, None)
            writer.close()


async def use(gate, record, name, texts, seconds, succeeded):
    """A client that sends requests one after the other, and connects again when its session ends."""
    end, number = now() + seconds, 0
    while now() < end:
        try:
            client = Client(gate, record, name)
            await client.open("sales")
            while now() < end:
                number += 1
                text = texts[number % len(texts)].format(number)
                answer = await client.ask(text, f"{name}-{number}")
                if text.startswith("WRITE") and answer.startswith("COMPLETE"):
                    succeeded.append(f"{name}-{number}")
                await asyncio.sleep(0.03)
            client.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, RuntimeError) as error:
            record.line(f"{name}: {type(error).__name__} {str(error)[:80]}")
            await asyncio.sleep(0.03)


async def run(record, trouble, folder, gates):
    store = Store(record)
    await store.start()
    link = StoreLink(store, record)
    await link.start()
    databases = await start_cluster(store, record, zones=("z3", "z2", "z1"))
    for task in (heartbeats(store, databases), store.expire_loop()):
        asyncio.ensure_future(task)
    store.put("op/config", config())
    primary = databases[0]
    succeeded, lost = [], []

    async def restart(database):
        await asyncio.sleep(RESTART_S)
        database.crash()
        record.line(f"{database.id}, the other replica, crashes")
        await asyncio.sleep(DOWN_S)
        database.dark = False
        record.line(f"{database.id} is back with its log, and not paused any more")

    async def check(chosen):
        await asyncio.sleep(EFFECT_S + 0.02)
        kept = {entry[2] for entry in chosen.log}
        lost.extend(ident for ident in succeeded if ident not in kept)
        record.line(f"{chosen.id} leads term {chosen.term}; {len(succeeded)} writes were acknowledged, "
                    f"{len(lost)} of them are not in its log: {lost[:5]}")

    async def on_promote(ident):
        chosen = next(d for d in databases if d.id == ident)
        if trouble and WITHOUT != "restart" and not lost:
            asyncio.ensure_future(restart(next(d for d in databases if d not in (primary, chosen))))
        asyncio.ensure_future(check(chosen))
        return await promote(databases, ident, EFFECT_S)

    store.on_promote = on_promote
    for number, (name, zone) in enumerate([("front-a", "z1"), ("front-b", "z2"), ("front-c", "z1"), ("front-d", "z2")]):
        gates.append(Gate(name, store, folder, number, zone=zone))
        await gates[-1].launch()
    last = Gate("front-n", link, folder, 4, zone="z1")
    for gate in gates:
        await gate.await_ready()
    await asyncio.sleep(5)
    tasks = [asyncio.ensure_future(use(gate, record, f"client-{gate.name[-1]}", ["WRITE k{0} v", "READ k"], 8, succeeded))
             for gate in gates[:3]]
    await asyncio.sleep(1)
    if trouble and WITHOUT != "cut":
        primary.cut_callers |= {"front-a", "front-b", "front-c"}
        record.line("the primary is partitioned from front-a, front-b and front-c")
        asyncio.get_running_loop().call_later(CUT_S, primary.cut_callers.clear)
    await asyncio.sleep(START_S)
    link.armed = trouble and WITHOUT != "silent"
    gates.append(last)
    await last.launch()
    record.line("front-n starts")
    await asyncio.sleep(0.1)
    tasks.append(asyncio.ensure_future(use(last, record, "client-n", ["WRITE n{0} v"], 4, succeeded)))
    await asyncio.gather(*tasks)
    record.line(f"{len(store.promotions)} promote calls, {len(lost)} acknowledged commits are not in the promoted log")
    return bool(lost)


main(run, FOLDER)
