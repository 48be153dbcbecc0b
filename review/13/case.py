import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
sys.dont_write_bytecode = True
from world3 import SERVICE, TROUBLE, Client, Gate, Service, World, configuration, play

DRAIN_MS = 7000
# A little longer than drain-ms.
EXIT_S = 7.6
RUN_S = 20


def case(world: World):
    # Three databases, and the new one that a release starts first.
    service = Service(world.record, world.store, count=4)
    silent = socket.create_server(("127.0.0.1", 0))
    world.store.promote = service.promote
    world.store.put("op/config", configuration(1, [SERVICE]))
    service.beat()
    late, acked = [], {}

    def on_run(database, session, query, text, shape):
        since = acked.get(database.id)
        # Single statements only; the check knows no transactions.
        if since is not None and time.monotonic() > since + DRAIN_MS / 1000:
            late_ms = (time.monotonic() - since) * 1000
            late.append((query, database.id, late_ms))
            world.record.write(f"{query} runs at {database.id}, {late_ms:.0f} ms after the ack that it "
                               f"is draining, sent by {session.caller}")

    for database in service.databases:
        database.on_run, database.work = on_run, 0.02
    gates = [Gate(world, f"n{number}") for number in (1, 2, 3)]
    for gate in gates:
        world.wait(f"{gate.name} is ready", gate.is_ready)
    stopped, counts = [], {"done": 0, "refused": 0, "unknown": 0}

    def work(gate, database, number):
        asked = 0
        client = None
        while not stopped:
            try:
                client = client or Client(world, gate, database, f"{gate.name}.{database}", quiet=True)
                asked += 1
                text = f"WRITE item{asked} data" if asked % 2 == 0 else f"READ item{asked}"
                answer = client.ask(f"{gate.name}.{number}.{asked}", text)
                end = answer[-2].split(" ")[1] if answer[-2].startswith("ERROR") else "done"
                counts["unknown" if end in ("UNKNOWN", "TIMEOUT") else
                       "done" if end == "done" else "refused"] += 1
                if end in ("UNKNOWN", "TIMEOUT"):
                    world.record.write(f"{gate.name}.{number}.{asked} {text} -> {answer}")
            except OSError:
                client = None
            time.sleep(0.05)

    for gate in gates:
        for number, kind in enumerate(("sales", "readings") * 2):
            threading.Thread(target=work, args=(gate, f"{SERVICE}-{kind}", number),
                             daemon=True).start()
    # Longer than contact-ms, so that all machines are in touch.
    time.sleep(6)
    if TROUBLE:
        # Another writer's entry; warmup-left-ms, version, db-role and born are missing. It is written
        # again with each ping interval.
        entry = {"service": SERVICE, "address": "127.0.0.1:%d" % silent.getsockname()[1], "zone": "z1",
                 "capacity": 5, "state": "ready"}

        def write():
            sequence = 0
            while True:
                sequence += 1
                world.store.put("servers/other", {**entry, "sequence": sequence})
                time.sleep(1.2)

        threading.Thread(target=write, daemon=True).start()
        world.record.write(f"another writer's entry: {entry}")
        time.sleep(1)
    leaving = service.databases[0]
    leaving.state = "draining"
    revision = leaving.report()
    acked[leaving.id] = time.monotonic()
    world.record.write(f"the primary i-0 is draining, acknowledged by the store at revision {revision}")
    leave = threading.Timer(EXIT_S, leaving.exit)
    leave.daemon = True
    leave.start()
    before = 0
    for second in range(RUN_S):
        if second == RUN_S - 8:
            before = counts["done"]
        time.sleep(1)
        roles = [f"{d.id} {'primary' if d.primary else 'replica'} term {d.term}"
                 for d in service.databases]
        world.record.write(f"{counts}, {roles}")
    stopped.append(True)
    served = counts["done"] - before
    world.record.write(f"{served} requests were served in the last 8 s")
    if late:
        return (f"DRAIN: {len(late)} statements ran at the leaving i-0 later than {DRAIN_MS} ms after the "
                f"ack, the last one after {max(ms for _, _, ms in late):.0f} ms; {counts['unknown']} "
                f"writes have an unknown outcome, and {served} requests were served in the last 8 s")
    return None


play(__file__, case)
