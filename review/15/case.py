import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
sys.dont_write_bytecode = True
from world3 import SERVICE, TROUBLE, Client, Gate, Service, World, configuration, play

# config-apply-ms of the sheet that has tenants.
CONFIG_APPLY_S = 5.0
TX_IDLE_MS = 3000


def config(version, tenants):
    body = configuration(version, [SERVICE], tx_idle_ms=TX_IDLE_MS)
    body["tenants"] = [{"name": name, "api-keys": keys} for name, keys in tenants.items()]
    return body


def case(world: World):
    service = Service(world.record, world.store)
    service.beat()
    world.store.promote = service.promote
    world.store.put("op/config", config(1, {"north": ["key-1"], "south": ["key-2"]}))
    runs = []

    def on_run(database, session, query, text, shape):
        runs.append((query, session.caller, time.monotonic()))
        world.record.write(f"{query} {text} runs at {database.id} for {session.caller}")

    for database in service.databases:
        database.on_run = on_run
    gates = [Gate(world, f"n{number}") for number in (1, 2)]
    for gate in gates:
        world.wait(f"{gate.name} is ready", gate.is_ready)
    # All machines are in touch.
    time.sleep(5)
    client = Client(world, gates[0], f"{SERVICE}-sales", "key-1")
    client.ask("t1", "BEGIN")
    client.ask("t2", "READ k")
    # Without the disruption, the change takes no key away.
    held = {"north": [] if TROUBLE else ["key-1"], "south": ["key-2"]}
    revision = world.store.put("op/config", config(2, held))
    acked = time.monotonic()
    world.record.write(f"version 2 is acknowledged at revision {revision}")
    other = Client(world, gates[1], f"{SERVICE}-sales", "key-2")
    for number in range(3, 7):
        time.sleep(1.8)
        client.ask(f"t{number}", f"READ k{number}")
        other.ask(f"o{number}", f"READ k{number}")
    late = time.monotonic()
    assert late > acked + CONFIG_APPLY_S
    client.ask("t7", "WRITE k data")
    answer = client.ask("t8", "COMMIT")
    fresh = Client(world, gates[0], f"{SERVICE}-sales", "key-1")
    world.record.write(f"a new session with the key: {fresh.greeting}")
    committed = [entry for entry in service.databases[0].log if entry[1] == "t7"]
    ran = [query for query, _, at in runs if query in ("t7", "t8") and at > acked + CONFIG_APPLY_S]
    if "key-1" not in held["north"] and ran:
        return (f"CONFIG: {ran} of the key that version 2 had taken away ran more than "
                f"{late - acked:.1f} s after its ack; COMMIT got {answer[0]}, "
                f"{len(committed)} write is in the log")
    return None


play(__file__, case)
