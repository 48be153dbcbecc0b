"""Stand-ins of the platform for the scripts of the second review: the metadata store with its promotion
call, a service of three databases, gate processes and clients. They follow PROTOCOL.md and DEPLOY.md;
where those are silent, they behave like a sound server or client. Standard library only.

The databases replicate at once, unless a script changes that. Every address is a loopback address.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
GATE = "target/release/cicadawick-gate"  # as in deploy/system.toml, started in the repository root
LIMIT = 4 * 1024 * 1024


def now():
    return time.monotonic()


def free_port(ip="127.0.0.1"):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def line(self, text):
        if len(text) > 400:
            text = text[:200] + f" ..({len(text)} bytes).. " + text[-60:]
        self.file.write(f"{now() - self.start:8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's metadata store and POST /promote."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}  # key -> dict(value, revision, created, lease)
        self.events = []
        self.history_start = 0
        self.leases = {}  # lease -> (end, ttl)
        self.next_lease = 0
        self.changed = asyncio.Event()
        self.on_promote = None
        self.promotions = []
        # Hook: (method, path, body, peer) -> None to go on, or "silent".
        self.filter = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=LIMIT)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        old = self.items.get(key)
        item = dict(key=key, value=base64.b64encode(value).decode(), revision=self.revision,
                    created=old["created"] if old else self.revision, lease=lease)
        self.items[key] = item
        self.events.append(item)
        self.notify()

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append(dict(key=key, revision=self.revision, deleted=True))
            self.notify()

    def value(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def expire(self):
        t = now()
        for lease in [l for l, (end, _) in self.leases.items() if end <= t]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    async def expire_loop(self):
        while True:
            self.expire()
            await asyncio.sleep(0.02)

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            method, url, _ = lines[0].split(" ")
            headers = {l.split(":", 1)[0].lower(): l.split(":", 1)[1].strip() for l in lines[1:] if ":" in l}
            if "content-length" in headers:
                body = await reader.readexactly(int(headers["content-length"]))
            elif headers.get("transfer-encoding") == "chunked":
                body = b""
                while True:
                    size = int((await reader.readline()).strip(), 16)
                    chunk = await reader.readexactly(size + 2)
                    if size == 0:
                        break
                    body += chunk[:-2]
            else:
                body = b""
            body = json.loads(body) if body else {}
            if self.filter and self.filter(method, url, body) == "silent":
                await asyncio.sleep(60)
                return
            status, answer = await self.answer(method, url, headers, body)
            data = json.dumps(answer).encode()
            reason = {200: "OK"}.get(status, "Status")
            writer.write(f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode() + data)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, url, headers, body):
        path, _, query = url.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.expire()
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            if not item:
                return 404, {"store-revision": self.revision}
            return 200, dict(item, **{"store-revision": self.revision})
        if path == "/kv-range":
            prefix, after = query.get("path-prefix", ""), query.get("after", "")
            keys = [k for k in sorted(self.items) if k.startswith(prefix) and k > after]
            return 200, {"items": [self.items[k] for k in keys[:500]], "truncated": len(keys) > 500,
                         "store-revision": self.revision}
        if path == "/kv-watch":
            after, prefix = int(query["after"]), query.get("path-prefix", "")
            end = now() + int(query["wait-ms"]) / 1000
            if after > self.revision or after < self.history_start:
                return 410, {}
            while True:
                events = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
                if events or now() >= end:
                    return 200, {"events": events, "store-revision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - now()))
                except asyncio.TimeoutError:
                    pass
        if path == "/kv-txn":
            bad = [e["key"] for e in body.get("expect", [])
                   if self.items.get(e["key"], {"revision": 0})["revision"] != e["revision"]]
            if bad:
                return 412, {"items": [self.items.get(e["key"], {"key": e["key"], "revision": 0})
                                       for e in body["expect"]]}
            for w in body.get("writes", []):
                if w["lease"] and w["lease"] not in self.leases:
                    return 404, {}
                if w["key"].startswith(("op/", "servers/")):
                    return 403, {}
            for w in body.get("writes", []):
                self.put(w["key"], base64.b64decode(w["value"]), w["lease"])
            for key in body.get("remove", []):
                self.remove(key)
            return 200, {"revision": self.revision}
        if path == "/kv-lease":
            self.next_lease += 1
            ttl = max(1.0, body["ttl-ms"] / 1000)
            self.leases[self.next_lease] = (now() + ttl, ttl)
            return 200, {"lease": self.next_lease, "ttl-ms": int(ttl * 1000)}
        if path.startswith("/kv-keep/") or path.startswith("/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            if path.startswith("/kv-keep/"):
                ttl = self.leases[lease][1]
                self.leases[lease] = (now() + ttl, ttl)
                return 200, {"ttl-ms": int(ttl * 1000)}
            self.end_lease(lease)
            return 200, {}
        if path == "/promote":
            holder, fence = headers.get("duty-holder"), int(headers.get("fencing-token", "0"))
            self.promotions.append((now(), body["id"], holder, fence))
            self.record.line(f"promote {body['id']} holder {holder} fence {fence}")
            status = await self.on_promote(body["id"]) if self.on_promote else 200
            return status, {}
        return 404, {}


class Connection:
    """One connection to a database: session values, prepared names and a transaction."""

    def __init__(self, caller):
        self.caller = caller
        self.values = {}
        self.prepared = {}
        self.state = "I"
        self.writes = []


class Database:
    """One database of a service. Replicas receive and apply every commit at once."""

    def __init__(self, service, ident, primary, record, ip="127.0.0.1", capacity=2, cap=16):
        self.service, self.id, self.primary, self.record = service, ident, primary, record
        self.ip, self.capacity, self.cap = ip, capacity, cap
        self.term, self.fence = 1, 0
        self.log = []  # (term, number, id, item, data)
        self.connections = 0
        self.cut_callers = set()  # a partition: nothing from or to these reaches the other side
        self.statements = []  # (time, id, text, caller, values) of every read, write and commit that ran
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.work = 0.002
        self.slots = asyncio.Semaphore(capacity)
        self.cluster = None
        self.zone = "z1"
        self.dark = False  # crashed without a word: nothing is answered, open connections stay silent
        self.deaf = False  # as a replica, receives no commits
        self.open = set()
        self.large = {}  # items whose reads have so many rows of 1 MB

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=LIMIT)
        self.address = "%s:%d" % (self.ip, self.server.sockets[0].getsockname()[1])

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "capacity": self.capacity, "state": "ready", "warmup-left-ms": 0, "sequence": self.sequence,
                "db-role": "primary" if self.primary else "replica", "born": self.born}

    def position(self):
        return (self.log[-1][0], self.log[-1][1]) if self.log else (1, 0)

    def ready(self, state):
        return b"READY %s %d.%d\r\n" % (state.encode(), *self.position())

    async def serve(self, reader, writer):
        self.connections += 1
        self.open.add(writer)
        connection = None
        try:
            startup = (await reader.readuntil(b"\r\n"))[:-2].decode().split(" ")
            connection = Connection(startup[2] if len(startup) > 2 else "")
            await self.passes(connection)
            if startup[0] != "STARTUP" or startup[1] != self.service or (
                    len(startup) > 3 and startup[3] != self.id):
                writer.write(b"ERROR MISROUTED other\r\n")
                return
            if self.connections > self.cap:
                writer.write(b"ERROR TOOMANY limit\r\n")
                return
            writer.write(self.ready("I"))
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                await self.passes(connection)
                if line == "TERMINATE":
                    return
                word, ident, text = line.split(" ", 2)
                answer = await self.run(connection, ident, text)
                await self.passes(connection)
                writer.write(answer + self.ready(connection.state))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections -= 1
            self.open.discard(writer)
            writer.close()

    async def passes(self, connection):
        """Bytes between a cut caller and this database wait for the end of the partition."""
        while self.dark or connection.caller in self.cut_callers:
            await asyncio.sleep(0.02)

    def restart_empty(self):
        """Starts again under the same id: it holds and knows nothing of before, and is a replica."""
        self.primary, self.term, self.fence, self.log = False, 0, 0, []
        self.born, self.sequence = int(time.time() * 1000), 0
        for writer in list(self.open):
            writer.transport.abort()

    def crash(self):
        """Crashes. It comes back (`dark = False`) with its log, and isn't paused any more."""
        self.dark, self.fence = True, 0
        for writer in list(self.open):
            writer.transport.abort()

    def follow(self, leader):
        """Becomes a replica of a newer primary, with its log unless it receives nothing."""
        self.primary, self.term, self.fence = False, leader.term, 0
        if not self.deaf:
            self.log = list(leader.log)

    async def run(self, c, ident, text):
        after = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            after = tuple(int(x) for x in position.split("."))
        verb, _, rest = text.partition(" ")
        if after and self.position() < after:
            return b"ERROR LAGGING behind\r\n"
        if verb == "SET":
            name, _, value = rest.partition(" ")
            c.values[name] = value
            return b"COMPLETE -\r\n"
        if verb == "RESET":
            c.values.clear()
            c.prepared.clear()
            return b"COMPLETE -\r\n"
        if verb == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            c.prepared[name] = (access, shape)
            return b"COMPLETE -\r\n"
        if verb == "DEALLOC":
            c.prepared.pop(rest, None)
            return b"COMPLETE -\r\n"
        if verb == "BEGIN":
            if rest != "READ" and not self.primary:
                return b"ERROR READONLY replica\r\n"
            c.state, c.writes = "T", []
            return b"COMPLETE -\r\n"
        if verb == "ROLLBACK":
            c.state, c.writes = "I", []
            return b"COMPLETE -\r\n"
        if verb in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            if verb == "PAUSE" and not self.primary:
                self.fence = max(self.fence, int(rest))
            if verb == "RESUME":
                self.fence = 0
            if verb == "DEMOTE" and self.primary and self.term < int(rest):
                self.primary = False
            role = "primary" if self.primary else "replica"
            row = "ROW %s %d %d.%d %d 0 0 %d\r\n" % (role, self.term, *self.position(), self.fence, self.connections)
            return row.encode() + b"COMPLETE -\r\n"
        if c.state == "E":
            return b"ERROR MALFORMED failed\r\n"
        write, item, data = verb == "WRITE", rest.split(" ")[0], rest.partition(" ")[2]
        if verb == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            if name not in c.prepared:
                return b"ERROR NOSTMT unknown\r\n"
            write = c.prepared[name][0] == "WRITE"
            item, _, data = arguments.partition(" ")
        if write and not self.primary:
            return b"ERROR READONLY replica\r\n"
        async with self.slots:
            await asyncio.sleep(self.work)
            self.statements.append((now(), ident, text[:60], c.caller, dict(c.values)))
            mac = b"COMPLETE %d.%s.%s\r\n" % (len(self.statements), self.id.encode(), ident.encode())
            if verb == "COMMIT":
                writes, c.writes, c.state = c.writes, [], "I"
                return mac if await self.commit(writes) else b"ERROR READONLY replaced\r\n"
            if write:
                if c.state == "T":
                    c.writes.append((ident, item, data))
                elif not await self.commit([(ident, item, data)]):
                    return b"ERROR READONLY replaced\r\n"
                return mac
            if item in self.large:
                row = b"ROW " + b"r" * 1_000_000 + b"\r\n"
                return row * self.large[item] + mac
            found = [e for e in self.log if e[3] == item]
            row = found[-1][4] if found else "value-of-" + item[:20]
            return b"ROW " + row.encode() + b"\r\n" + mac

    async def commit(self, writes):
        """Commits, and waits until one replica has received it. Returns False if the lead is lost before."""
        if not writes:
            return True
        term = self.term
        for ident, item, data in writes:
            self.log.append((term, len(self.log) + 1, ident, item, data))
        length = len(self.log)
        while self.primary and self.term == term:
            received = False
            for other in self.cluster:
                able = not (other.primary or other.deaf or other.dark or self.dark)
                if other is not self and able and other.fence <= term and other.term <= term:
                    other.log, other.term = list(self.log), term
                    received = received or len(other.log) >= length
            if received:
                return True
            await asyncio.sleep(0.01)
        return False


async def promote(databases, ident, effect_s=0.3):
    """POST /promote: some hundred ms later the database leads the next term with what it had received."""
    chosen = next((d for d in databases if d.id == ident), None)
    if chosen is None or chosen.dark:
        return 409
    if not chosen.primary:
        async def take_effect():
            await asyncio.sleep(effect_s)
            chosen.term = max(d.term for d in databases) + 1
            chosen.primary, chosen.fence = True, 0
            for other in databases:
                if other is not chosen and not other.dark and not other.primary:
                    other.follow(chosen)
        asyncio.ensure_future(take_effect())
    return 200


async def start_cluster(store, record, service="svc1", zones=("z1", "z1", "z1"), **options):
    databases = [Database(service, f"i-{service}-{n}", n == 0, record, **options) for n in range(3)]
    for database, zone in zip(databases, zones):
        database.zone = zone
    for database in databases:
        database.cluster = databases
        await database.start()
        store.put("servers/" + database.id, database.entry())
    return databases


async def heartbeats(store, databases):
    while True:
        for database in databases:
            if database.dark:
                database.silent_beats = getattr(database, "silent_beats", 0) + 1
                if database.silent_beats == 3:
                    store.remove("servers/" + database.id)
            else:
                database.silent_beats = 0
                store.put("servers/" + database.id, database.entry())
        await asyncio.sleep(1.2)


def config(max_connections=16, services=("svc1",), tx_idle_ms=3000):
    """A configuration like that of the small deployments. The hosts of the second service end in 2, and so on."""
    routes = []
    for number, service in enumerate(services):
        end = str(number + 1) if number else ""
        routes += [
            {"name": "r1" + end, "host": "sales" + end, "service": service, "type": "primary", "timeout-ms": 800,
             "priority": 0, "target-latency-ms": 100},
            {"name": "r2" + end, "host": "views" + end, "service": service, "type": "bounded", "timeout-ms": 1200,
             "priority": 2, "max-staleness-ms": 1500, "target-latency-ms": 600},
            {"name": "r3" + end, "host": "readings" + end, "service": service, "type": "session", "timeout-ms": 800,
             "priority": 1, "max-staleness-ms": 2500, "target-latency-ms": 200},
        ]
    return {"version": 3, "routes": routes, "limits": {"tx-idle-ms": tx_idle_ms},
            "services": [{"name": service, "max-connections": max_connections, "sync-replicas": 1}
                         for service in services]}


class Gate:
    """A process of the project's program, started with the command of the deploy file."""

    def __init__(self, name, store, folder, number, zone="z1", memory_mb=260, link_mbps=1000.0, extra=""):
        self.name, self.ip = name, f"127.0.{10 + number // 200}.{1 + number % 200}"
        self.front, self.ready, self.control = [free_port(self.ip) for _ in range(3)]
        first = free_port(self.ip)
        self.file = os.path.join(folder, name + ".toml")
        self.log = os.path.join(folder, name + ".log")
        with open(self.file, "w", encoding="utf-8") as f:
            f.write(f"""node-name = "{name}"
role = "gate"
machine-class = "front"
serves = ["front"]
ip = "{self.ip}"
zone = "{zone}"
region = "r1"
internal-port-range = [{first}, {first + 15}]
seeds = []
bootstrap = true
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[listen]
front = "{self.ip}:{self.front}"
ready = "{self.ip}:{self.ready}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = {memory_mb}
max-fds = 4200
link-mbps = {link_mbps}
[bounds]
contact-ms = 4000
drain-ms = 7000
grace-s = 6
config-apply-ms = 3000
fencing-required = false
[platform]
address = "{store.address}"
[cloud]
address = "{store.address}"
{extra}""")
        self.process = None

    async def launch(self):
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, GATE), cwd=ROOT, env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp",
                                                     "CICADAWICK_NODE_FILE": self.file},
            stdout=open(self.log, "ab"), stderr=asyncio.subprocess.STDOUT, stdin=asyncio.subprocess.DEVNULL)

    async def http(self, path):
        reader, writer = await asyncio.open_connection(self.ip, self.ready)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n".encode())
        data = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        return int(data.split(b" ")[1]), data.partition(b"\r\n\r\n")[2]

    async def await_ready(self, timeout=20):
        end = now() + timeout
        while now() < end:
            try:
                if (await self.http("/ready"))[0] == 200:
                    return
            except (OSError, IndexError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")

    def memory_mb(self, field="VmRSS:"):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as f:
            for line in f:
                if line.startswith(field):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def running(self):
        return self.process is not None and self.process.returncode is None

    async def end(self):
        if self.running():
            self.process.send_signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()


class Client:
    """A client's session. It sends one request at a time and waits for the answer."""

    def __init__(self, gate, record, name):
        self.gate, self.record, self.name, self.count = gate, record, name, 0
        self.values = {}

    async def open(self, database, window=None):
        sock = socket.socket()
        if window:  # links have small windows
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (self.gate.ip, self.gate.front))
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=LIMIT)
        self.writer.write(f"STARTUP {database} {self.name}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 5)).decode().strip()
        if not line.startswith("READY"):
            raise RuntimeError(f"{self.name}: {line}")

    async def ask(self, text, ident=None, timeout=10, quiet=False):
        self.count += 1
        ident = ident or f"{self.name}-{self.count}"
        if not quiet:
            self.record.line(f"{self.name} at {self.gate.name} sends {ident} {text}")
        self.writer.write(f"QUERY {ident} {text}\r\n".encode())
        await self.writer.drain()
        lines = []
        while True:
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), timeout))[:-2].decode()
            lines.append(line)
            if line.startswith("READY"):
                break
        answer = "|".join(lines)
        if not quiet:
            self.record.line(f"{self.name} gets for {ident}: {answer}")
        return answer

    async def set(self, name, value):
        answer = await self.ask(f"SET {name} {value}", quiet=True)
        if answer.startswith("COMPLETE"):
            self.values[name] = value
        return answer

    def close(self):
        self.writer.close()


def main(run, folder):
    """Runs a script: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))

    async def all_of_it():
        gates = []
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            try:
                return await asyncio.wait_for(run(record, trouble, temporary, gates), 110)
            finally:
                for gate in gates:
                    await gate.end()
                if os.environ.get("KEEP_LOGS"):
                    for gate in gates:
                        os.system(f"cp {gate.log} {os.environ['KEEP_LOGS']}/")

    try:
        broken = asyncio.run(all_of_it())
    except (Exception, asyncio.CancelledError) as error:
        record.line(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}", flush=True)
        os._exit(2)
    record.line("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held", flush=True)
    # Sockets that are still open need no orderly end: all processes have ended.
    os._exit(1 if broken else 0)
