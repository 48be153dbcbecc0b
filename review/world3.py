"""Stand-ins for the cases 11 to 15: the platform's store, a service of three databases, and clients.

They follow PROTOCOL.md. The program under test runs as separate processes with the command of
deploy/system.toml. All sockets are on 127.0.0.1.
"""

import base64
import http.server
import json
import os
import random
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SERVICE = "ledger"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """What was sent, answered and run, in record.txt beside the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def shorten(text):
    return text if len(text) <= 120 else f"{text[:60]}..({len(text)} characters)..{text[-20:]}"


# The platform's store and its call that promotes.


class Store:
    """The platform's metadata store, with one revision counter."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Condition()
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.last_lease = 0
        self.promote = lambda database: 409
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                self.serve()

            def do_POST(self):
                self.serve()

            def do_DELETE(self):
                self.serve()

            def serve(self):
                if self.server.cut:
                    return self.hang()
                size = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(size) or b"{}")
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                status, answer = store.answer(url.path, query, body, self.headers)
                if self.server.cut:
                    return self.hang()
                data = json.dumps(answer).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    pass

            def hang(self):
                """Sends nothing for as long as the caller is cut off, and then closes."""
                self.close_connection = True
                while self.server.cut:
                    time.sleep(0.05)

            def log_message(self, *args):
                pass

        class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
            daemon_threads = True
            request_queue_size = 256
            cut = False

            def handle_error(self, request, address):
                pass

        self.make_server = lambda: Server(("127.0.0.1", 0), Handler)
        self.server, self.address = self.listen()

    def listen(self):
        """Opens another address, so that one machine can be cut off (`server.cut`)."""
        server = self.make_server()
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server, "127.0.0.1:%d" % server.server_address[1]

    def put(self, key, value, lease=0):
        """Writes an item; returns its revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.lock:
            return self._write(key, base64.b64encode(data).decode(), lease)

    def remove(self, key):
        with self.lock:
            self._remove(key)

    def get(self, key):
        with self.lock:
            item = self.items.get(key)
            return json.loads(base64.b64decode(item["value"])) if item else None

    def _write(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created,
                "lease": lease}
        self.items[key] = item
        self.events.append(item)
        self.lock.notify_all()
        return self.revision

    def _remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.lock.notify_all()

    def _expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (end, _) in self.leases.items() if now >= end]:
            del self.leases[lease]
        gone = [key for key, item in self.items.items()
                if item["lease"] and item["lease"] not in self.leases]
        for key in gone:
            self._remove(key)

    def answer(self, path, query, body, headers):
        if path == "/promote":
            self.record.write(f"promote {body} holder {headers.get('Duty-Holder')} "
                              f"fence {headers.get('Fencing-Token')}")
            return self.promote(body["id"]), {}
        with self.lock:
            self._expire()
            if path == "/kv-range":
                keys = sorted(key for key in self.items
                              if key.startswith(query.get("path-prefix", ""))
                              and key > query.get("after", ""))
                items = [self.items[key] for key in keys[:500]]
                return 200, {"items": items, "truncated": len(keys) > 500,
                             "store-revision": self.revision}
            if path == "/kv-key":
                item = self.items.get(query["key"])
                return (200, item) if item else (404, {})
            if path == "/kv-watch":
                after, prefix = int(query["after"]), query.get("path-prefix", "")
                end = time.monotonic() + int(query["wait-ms"]) / 1000
                while True:
                    events = [event for event in self.events
                              if event["revision"] > after and event["key"].startswith(prefix)]
                    left = end - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "store-revision": self.revision}
                    self.lock.wait(min(left, 0.1))
                    self._expire()
            if path == "/kv-txn":
                for row in body.get("expect", []):
                    item = self.items.get(row["key"])
                    if row["revision"] != (item["revision"] if item else 0):
                        return 412, {"items": [item] if item else []}
                if any(row.get("lease") and row["lease"] not in self.leases
                       for row in body.get("writes", [])):
                    return 404, {}
                for row in body.get("writes", []):
                    self._write(row["key"], row["value"], row.get("lease", 0))
                for key in body.get("remove", []):
                    self._remove(key)
                return 200, {"revision": self.revision}
            if path == "/kv-lease":
                self.last_lease += 1
                ttl = max(1000, min(body["ttl-ms"], 600_000)) / 1000
                self.leases[self.last_lease] = (time.monotonic() + ttl, ttl)
                return 200, {"lease": self.last_lease, "ttl-ms": int(ttl * 1000)}
            call, _, number = path.rpartition("/")
            lease = int(number)
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            if call == "/kv-keep":
                self.leases[lease] = (time.monotonic() + ttl, ttl)
            else:
                del self.leases[lease]
                self._expire()
            return 200, {"ttl-ms": int(ttl * 1000)}


# The databases of a service.


class Database:
    def __init__(self, service, number, record, store, max_connections):
        self.service, self.record, self.store = service, record, store
        self.id = f"i-{number}"
        self.primary = number == 0
        self.term, self.fence, self.log = 1, 0, []
        self.dark = False
        self.state = "ready"
        self.sequence = 0
        self.max_connections = max_connections
        self.connections = 0
        self.sockets = set()
        # Seconds that a client's statement takes.
        self.work = 0.0
        self.silent_for = lambda caller: False
        self.on_run = lambda database, session, query, verb, values: None
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self):
        self.sequence += 1
        return {"service": self.service.name, "address": self.address, "zone": "z1",
                "version": "v1", "capacity": 5, "state": self.state, "warmup-left-ms": 0,
                "sequence": self.sequence, "born": 1_700_000_000_000,
                "db-role": "primary" if self.primary else "replica"}

    def report(self):
        """Writes the database's entry, as each heartbeat does."""
        if not self.dark:
            return self.store.put(f"servers/{self.id}", self.entry())
        return None

    def position(self):
        return f"{self.log[-1][0] if self.log else 1}.{len(self.log)}"

    def exit(self):
        """Ends the database and all its connections."""
        self.record.write(f"{self.id} exits")
        self.dark = True
        for connection in list(self.sockets):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _accept(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _hang(self, caller):
        """Waits while the caller gets nothing, as behind a partition."""
        while self.dark or self.silent_for(caller):
            time.sleep(0.05)

    def _serve(self, connection):
        counted = False
        self.sockets.add(connection)
        try:
            stream = connection.makefile("rb")
            words = stream.readline().decode().rstrip("\r\n").split(" ")
            if len(words) < 3 or words[0] != "STARTUP":
                return
            caller = words[2]
            if self.dark or self.silent_for(caller):
                # The packets are lost; nothing that arrived meanwhile is run.
                self._hang(caller)
                return
            if words[1] != self.service.name or len(words) > 3 and words[3] != self.id:
                connection.sendall(b"ERROR MISROUTED another database\r\n")
                return
            with self.service.lock:
                if self.connections >= self.max_connections:
                    connection.sendall(b"ERROR TOOMANY too many connections\r\n")
                    return
                self.connections += 1
                counted = True
            session = Session(caller)
            connection.sendall(f"READY I {self.position()}\r\n".encode())
            for line in stream:
                if self.dark or self.silent_for(caller):
                    self._hang(caller)
                    return
                text = line.decode().rstrip("\r\n")
                if text == "TERMINATE":
                    return
                _, query, text = text.split(" ", 2)
                if query != "-" and self.work:
                    time.sleep(self.work)
                answer = self.service.answer(self, session, query, text)
                state = session.state
                connection.sendall(f"{answer}READY {state} {self.position()}\r\n".encode())
        except OSError:
            pass
        finally:
            self.sockets.discard(connection)
            connection.close()
            if counted:
                with self.service.lock:
                    self.connections -= 1


class Session:
    """State of one connection to a database."""

    def __init__(self, caller):
        self.caller = caller
        self.values, self.prepared = {}, {}
        self.state, self.term, self.read_only, self.writes = "I", 0, False, []


class Service:
    """Three databases; a commit is acknowledged once a replica has received it."""

    def __init__(self, record, store, name=SERVICE, count=3, max_connections=55, first=0):
        self.name, self.record, self.store = name, record, store
        self.lock = threading.RLock()
        self.databases = [Database(self, first + number, record, store, max_connections)
                          for number in range(count)]
        for number, database in enumerate(self.databases):
            database.primary = number == 0
            database.report()

    def beat(self, interval=1.2):
        """Starts the heartbeats; the entry of a silent database is removed after three."""
        def run():
            silent = {}
            while True:
                for database in self.databases:
                    if database.dark:
                        since = silent.setdefault(database.id, time.monotonic())
                        if time.monotonic() >= since + 3 * interval:
                            self.store.remove(f"servers/{database.id}")
                    else:
                        silent.pop(database.id, None)
                        database.report()
                time.sleep(interval)
        threading.Thread(target=run, daemon=True).start()

    def promote(self, identity):
        chosen = [d for d in self.databases if d.id == identity and not d.dark]
        if not chosen:
            return 409
        if not chosen[0].primary:
            threading.Timer(0.3, self._take_over, chosen).start()
        return 200

    def _take_over(self, chosen):
        with self.lock:
            term = max(d.term for d in self.databases) + 1
            chosen.primary, chosen.term, chosen.fence = True, term, 0
            for database in self.databases:
                if database is not chosen and not database.primary and not database.dark:
                    database.term, database.fence, database.log = term, 0, list(chosen.log)
        self.record.write(f"{chosen.id} leads term {term}")
        chosen.report()
        threading.Timer(1.0, self._demote_former, [chosen]).start()

    def _demote_former(self, chosen):
        for database in self.databases:
            if database is not chosen and database.primary and database.term < chosen.term:
                self.follow(database, chosen)

    def follow(self, database, leader):
        with self.lock:
            database.primary, database.term, database.fence = False, leader.term, 0
            database.log = list(leader.log)
        database.report()

    def status(self, database):
        role = "primary" if database.primary else "replica"
        return (f"ROW {role} {database.term} {database.position()} {database.fence} 1 0 "
                f"{database.connections}\r\nCOMPLETE -\r\n")

    def commit(self, database, writes):
        """Appends to the log and passes it on; returns false if no replica received it."""
        database.log.extend((database.term, *write) for write in writes)
        replicas = [d for d in self.databases if not d.primary and not d.dark
                    and d.term == database.term and d.fence <= d.term]
        for replica in replicas:
            replica.log = list(database.log)
        return bool(replicas)

    def answer(self, database, session, query, text):
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        verb, _, rest = text.partition(" ")
        done = "COMPLETE -\r\n"
        with self.lock:
            if verb == "STATUS":
                return self.status(database)
            if verb == "PAUSE":
                if int(rest) > database.term and not database.primary:
                    database.fence = max(database.fence, int(rest))
                return self.status(database)
            if verb == "RESUME":
                database.fence = 0
                return self.status(database)
            if verb == "DEMOTE":
                if database.primary and database.term < int(rest):
                    database.primary = False
                return self.status(database)
            if verb == "RESET":
                session.values.clear()
                session.prepared.clear()
                return done
            if verb == "SET":
                name, _, value = rest.partition(" ")
                session.values[name] = value
                return done
            if verb == "PREPARE":
                name, access, shape = rest.split(" ", 2)
                session.prepared[name] = (access, shape[:64])
                return done
            if verb == "DEALLOC":
                session.prepared.pop(rest, None)
                return done
            if verb == "ROLLBACK":
                session.state, session.writes = "I", []
                return done
            if session.state == "E" and verb != "COMMIT":
                return "ERROR MALFORMED the transaction has failed\r\n"
            if after and tuple(map(int, after.split("."))) > \
                    tuple(map(int, database.position().split("."))):
                return "ERROR LAGGING behind\r\n"
            if verb == "BEGIN":
                if rest != "READ" and not database.primary:
                    return "ERROR READONLY replica\r\n"
                session.state, session.term, session.writes = "T", database.term, []
                session.read_only = rest == "READ"
                return done
            if verb == "EXECUTE":
                name, _, arguments = rest.partition(" ")
                if name not in session.prepared:
                    return "ERROR NOSTMT no such statement\r\n"
                access, shape = session.prepared[name]
            else:
                access, shape, arguments = ("WRITE" if verb == "WRITE" else "READ"), None, rest
            lost = session.state == "T" and not session.read_only and \
                (not database.primary or session.term != database.term)
            writes = verb != "COMMIT" and access == "WRITE"
            if writes and not database.primary or lost and (verb != "COMMIT" or session.writes):
                session.state = "E" if session.state == "T" else "I"
                return "ERROR READONLY replica\r\n"
            database.on_run(database, session, query, text, shape)
            if verb == "COMMIT":
                pending, session.writes, session.state = session.writes, [], "I"
                if pending and not self.commit(database, pending):
                    raise OSError("no replica received the commit")
                return f"COMPLETE mac.{database.id}.{query}\r\n"
            item, _, data = arguments.partition(" ")
            if not writes:
                found = [entry for entry in database.log if entry[2] == item]
                row = found[-1][3] if found else "none"
                return f"ROW {row}\r\nCOMPLETE mac.{database.id}.{query}\r\n"
            if session.state == "T":
                session.writes.append((query, item, data))
            elif not self.commit(database, [(query, item, data)]):
                raise OSError("no replica received the commit")
            return f"COMPLETE mac.{database.id}.{query}\r\n"


def configuration(version, services, tx_idle_ms=3000, max_connections=55):
    """Routes of each kind for each service."""
    routes = []
    for service in services:
        routes += [
            {"name": f"{service}-p", "host": f"{service}-sales", "service": service,
             "type": "primary", "timeout-ms": 2000, "target-latency-ms": 200, "priority": 0},
            {"name": f"{service}-b", "host": f"{service}-views", "service": service,
             "type": "bounded", "timeout-ms": 2000, "target-latency-ms": 600, "priority": 2,
             "max-staleness-ms": 1500},
            {"name": f"{service}-s", "host": f"{service}-readings", "service": service,
             "type": "session", "timeout-ms": 2000, "target-latency-ms": 400, "priority": 1,
             "max-staleness-ms": 2500},
        ]
    return {"version": version, "routes": routes, "limits": {"tx-idle-ms": tx_idle_ms},
            "services": [{"name": service, "max-connections": max_connections, "sync-replicas": 1}
                         for service in services]}


# The program under test.


def gate_command():
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        for line in file:
            if line.startswith("run = "):
                return json.loads(line.split("=", 1)[1]).split(" ")
    raise CannotRun("deploy/system.toml names no command")


def free_ports(count):
    """Returns consecutive free ports."""
    for _ in range(200):
        # Below the ports that the system gives to connections.
        first = random.randrange(15_000, 32_000)
        held = []
        try:
            for port in range(first, first + count):
                held.append(socket.create_server(("127.0.0.1", port)))
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise CannotRun("no free ports")


class Gate:
    """One process of the program, on the settings of a small deployment."""

    def __init__(self, world, name, memory_mb=260):
        self.world, self.name, self.memory_mb = world, name, memory_mb
        front, ready, peer, relay = free_ports(4)
        # The way of this machine to the platform.
        self.store, store_address = world.store.listen()
        self.front, self.ready, self.peer = front, ready, peer
        self.file = os.path.join(world.folder, f"{name}.toml")
        with open(self.file, "w") as file:
            file.write(f'''node-name = "{name}"
role = "gate"
machine-class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "z1"
region = "r1"
internal-port-range = [{peer},{relay}]
heartbeat-ms = 1200
[zones]
z1 = "r1"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = {memory_mb}
max-fds = 4200
link-mbps = 1000.0
[bounds]
contact-ms = 4000
drain-ms = 7000
grace-s = 6
config-apply-ms = 3000
[platform]
address = "{store_address}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
[cloud]
address = "{store_address}"
duties = ["failover"]
duty-per-s = 50.0
''')
        self.start()

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["CICADAWICK_NODE_FILE"] = self.file
        # The log is read at once, as by a sound collector, and not kept.
        output = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab") \
            if os.environ.get("KEEP_LOG") else subprocess.DEVNULL
        self.process = subprocess.Popen(gate_command(), cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=output,
                                        stderr=subprocess.DEVNULL)
        self.world.processes.append(self.process)
        self.world.record.write(f"{self.name} started, process {self.process.pid}")

    def is_ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ready), timeout=1) as connection:
                connection.sendall(b"GET /ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
                return connection.recv(64).split(b" ")[1:2] == [b"200"]
        except OSError:
            return False

    def memory(self):
        """Returns the resident memory in MB."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return 0.0

    def signal(self, number):
        self.process.send_signal(number)


class Client:
    """A client's session."""

    def __init__(self, world, gate, database, name="client", quiet=False, timeout=10):
        self.record, self.name, self.quiet = world.record, name, quiet
        self.socket = socket.create_connection(("127.0.0.1", gate.front), timeout=timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = self.socket.makefile("rb")
        self.write(f"STARTUP {database} {name}")
        self.greeting = self.line()
        self.note(f"STARTUP {database} at {gate.name} -> {self.greeting}")

    def note(self, text):
        if not self.quiet:
            self.record.write(f"{self.name}: {text}")

    def write(self, text):
        self.socket.sendall(text.encode() + b"\r\n")

    def line(self):
        line = self.stream.readline()
        if not line:
            raise ConnectionError("closed")
        return line.decode().rstrip("\r\n")

    def ask(self, query, text):
        """Sends a query; returns the lines of the answer."""
        self.write(f"QUERY {query} {text}")
        lines = []
        while not lines or not lines[-1].startswith("READY"):
            lines.append(self.line())
        self.note(f"{query} {shorten(text)} -> {' | '.join(map(shorten, lines))}")
        return lines

    def close(self):
        self.socket.close()


class World:
    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.store = Store(self.record)

    def wait(self, what, condition, limit=20):
        end = time.monotonic() + limit
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"timed out: {what}")
            time.sleep(0.02)

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOG"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(script, case):
    """Runs a case: `case(world)` returns a text for what broke the rule, or None."""
    world = World(os.path.dirname(os.path.abspath(script)))

    def stop(*_):
        for process in world.processes:
            # Without waiting, as another thread may do so.
            if process.returncode is None:
                os.kill(process.pid, signal.SIGKILL)
        shutil.rmtree(world.folder, ignore_errors=True)
        os._exit(2)

    signal.signal(signal.SIGTERM, stop)
    guard = threading.Timer(115, stop)
    guard.daemon = True
    guard.start()
    status = 2
    try:
        world.record.write("with the disruption" if TROUBLE else "without the disruption")
        broken = case(world)
        world.record.write(f"result: {broken or 'the rule held'}")
        print(broken or "the rule held")
        status = 1 if broken else 0
    except Exception as error:  # Anything unexpected means that the case did not run.
        world.record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        world.close()
    sys.stdout.flush()
    os._exit(status)
