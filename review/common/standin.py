"""Stand-ins for the platform of the review: a key-value store, runners and a client.

Only the standard library is used. The store runs in the process of the case; each runner is a
process of its own, so that a crash is a SIGKILL. All addresses are loopback addresses.
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

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOLD_MAX_MS = 10_000
STOP_MS = 200
HEARTBEAT_S = 1.1
CHECKPOINT_S = 1.0


def free_port(host="127.0.0.1"):
    with socket.socket() as it:
        it.bind((host, 0))
        return it.getsockname()[1]


# --- HTTP -------------------------------------------------------------------------------------

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server with keep-alive; `handler(method, path, query, headers, body)` returns
    (status, body, headers) or None to break the channel off."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                answer = await self.handler(method, url.path, query, headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                status, content, extra = answer
                data = b"" if content is None else json.dumps(content).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                head += f"Content-Length: {len(data)}\r\n"
                if content is not None:
                    head += "Content-Type: application/json\r\n"
                for name, value in extra.items():
                    head += f"{name}: {value}\r\n"
                writer.write(head.encode() + b"\r\n" + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(host, port, method, path, body=None, headers=None, timeout=5.0):
    """One request on a channel of its own. Returns (status, body); (0, reason) without an answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(data)}\r\n"
            head += "Content-Type: application/json\r\nConnection: close\r\n"
            for name, value in ({"Host": f"{host}:{port}"} | (headers or {})).items():
                head += f"{name}: {value}\r\n"
            writer.write(head.encode() + b"\r\n" + data)
            await writer.drain()
            first, answer_headers, answer = await read_message(reader)
            status = int(first.split(" ")[1])
            return status, (json.loads(answer) if answer else None)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as err:
        return 0, type(err).__name__


# --- The store --------------------------------------------------------------------------------

class Store:
    """The platform's store: items, watches, transactions and leases, as PROTOCOL.md says."""

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.events = []
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Condition()
        self.beats = {}
        # Called before each call; may return an answer, or "break" to break the channel off.
        self.intercept = None
        # While the store is down, "busy" answers 503; entries of runners don't expire meanwhile.
        self.down = None

    async def start(self):
        self.port = free_port()
        self.server = await Server(self.handle).start("127.0.0.1", self.port)
        self.address = f"127.0.0.1:{self.port}"
        asyncio.create_task(self.expire())
        return self

    async def apply(self, writes, remove):
        self.revision += 1
        revision = self.revision
        for key, value, lease in writes:
            known = self.items.get(key)
            created = known["created"] if known else revision
            self.items[key] = {"key": key, "value": value, "revision": revision,
                               "created": created, "lease": lease}
            self.events.append(dict(self.items[key]))
        for key in remove:
            if self.items.pop(key, None) is not None:
                self.events.append({"key": key, "revision": revision, "deleted": True})
        async with self.changed:
            self.changed.notify_all()
        return revision

    async def put_json(self, key, value):
        data = base64.b64encode(json.dumps(value).encode()).decode()
        await self.apply([(key, data, 0)], [])

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.down:
                # Leases pause.
                self.leases = {it: (ttl, max(until, now + 0.5))
                               for it, (ttl, until) in self.leases.items()}
            for lease in [it for it, (_, until) in self.leases.items() if now >= until]:
                del self.leases[lease]
                keys = [key for key, it in self.items.items() if it["lease"] == lease]
                if keys:
                    await self.apply([], keys)
            if self.down:
                self.beats = {it: now for it in self.beats}
            for runner in [it for it, at in self.beats.items() if now >= at + 3 * HEARTBEAT_S]:
                del self.beats[runner]
                if f"servers/{runner}" in self.items:
                    await self.apply([], [f"servers/{runner}"])

    async def handle(self, method, path, query, headers, body):
        if self.down == "busy":
            return 503, {}, {}
        if path.startswith("/standin/servers/"):
            runner = path.rsplit("/", 1)[1]
            if method == "DELETE":
                self.beats.pop(runner, None)
                await self.apply([], [f"servers/{runner}"])
            else:
                self.beats[runner] = time.monotonic()
                await self.put_json(f"servers/{runner}", json.loads(body))
            return 200, {}, {}
        await asyncio.sleep(0.004)
        data = json.loads(body) if body else {}
        if self.intercept:
            answer = await self.intercept(method, path, query, data)
            if answer == "break":
                return None
            if answer is not None:
                return answer
        return await self.act(path, query, data)

    async def act(self, path, query, data):
        name = path.removeprefix("/persimmonshift/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, item, {}) if item else (404, {}, {})
        if name == "kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(it for it in self.items if it.startswith(prefix) and it > after)
            page = [self.items[key] for key in keys[:500]]
            answer = {"items": page, "hasMore": len(keys) > 500, "asOf": self.revision}
            return 200, answer, {}
        if name == "kv-watch":
            prefix, after = query["prefix"], int(query["after"])
            until = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                events = [it for it in self.events
                          if it["revision"] > after and it["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "asOf": self.revision}, {}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if name == "kv-txn":
            expected = data.get("expected", [])
            revision_of = lambda key: self.items[key]["revision"] if key in self.items else 0
            if any(revision_of(it["key"]) != it["revision"] for it in expected):
                known = [self.items[it["key"]] for it in expected if it["key"] in self.items]
                return 412, {"items": known}, {}
            writes = [(it["key"], it["value"], it.get("lease", 0)) for it in data.get("writes", [])]
            if any(lease and lease not in self.leases for _, _, lease in writes):
                return 404, {}, {}
            return 200, {"revision": await self.apply(writes, data.get("remove", []))}, {}
        if name == "kv-lease":
            self.last_lease += 1
            ttl = data["ttlMs"]
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttlMs": ttl}, {}
        if name.startswith("kv-keep/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {}, {}
        if name.startswith("kv-lease-end/"):
            lease = int(name.split("/")[1])
            if lease in self.leases:
                self.leases[lease] = (0, 0.0)
            return 200, {}, {}
        return 404, {}, {}


# --- A runner ---------------------------------------------------------------------------------

class Runner:
    """One boot of a runner. `spec` of a job is JSON text that says what its tasks do:
    `runMs` (default 500) and `end` (default "done"; per run number with a list)."""

    def __init__(self, options):
        self.options = options
        self.id = options["id"]
        self.born = int(time.time() * 1000)
        self.boot = time.monotonic()
        self.runs = {}
        self.ended = []
        self.last_end = 0
        self.highest = {}
        self.fence = 0
        self.deadline_ms = 0
        self.end_event = asyncio.Event()
        self.state = "ready"
        self.seq = 0

    def clock_ms(self):
        return int((time.monotonic() - self.boot) * 1000)

    def log(self, event, **fields):
        print(json.dumps({"runner": self.id, "event": event} | fields), flush=True)

    def answer(self, status, **fields):
        body = {"clockMs": self.clock_ms(), "born": self.born} | fields
        return status, body, {"Instance-Id": self.id}

    def end(self, task, how):
        it = self.runs.pop(task, None)
        if it is None:
            return
        self.last_end += 1
        self.highest[task] = max(self.highest.get(task, 0), it["run"])
        self.ended.append([self.last_end, task, it["run"], how, it["saved"]])
        self.log("end", task=task, run=it["run"], how=how, number=self.last_end)
        self.end_event.set()

    def used(self, what):
        return sum(it[what] for it in self.runs.values())

    def extend(self, deadline_ms):
        limit = self.clock_ms() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit))

    async def handle(self, method, path, query, headers, body):
        data = json.loads(body) if body else {}
        if path == "/healthz":
            return self.answer(200)
        expected = headers.get("expect-instance")
        if expected is not None and expected != self.id:
            return self.answer(421)
        if data.get("fencingToken", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = data.get("fencingToken", 0)
        name = path.removeprefix("/persimmonshift/")
        if name == "run-start":
            return self.start_run(data)
        if name == "run-stop":
            task, run = data["task"], data["run"]
            self.log("stop", task=task, run=run)
            self.highest[task] = max(self.highest.get(task, 0), run)
            it = self.runs.get(task)
            if it and it["run"] <= run and not it["stopping"]:
                it["stopping"] = True
                asyncio.get_running_loop().call_later(
                    STOP_MS / 2000, self.end_if, task, it["run"], "stopped")
            return self.answer(200)
        if name == "pace":
            it = self.runs.get(data["task"])
            if it and it["run"] == data["run"]:
                it["percent"] = data["percent"]
                self.log("pace", task=data["task"], run=data["run"], percent=data["percent"])
            return self.answer(200)
        if name == "hold":
            if "deadlineMs" in data:
                self.extend(data["deadlineMs"])
            seen = data.get("lastSeen", 0)
            noted = [it for it in self.ended if it[0] <= seen]
            for number, task, run, how, _ in noted:
                self.log("noted", task=task, run=run, how=how, number=number)
            self.ended = [it for it in self.ended if it[0] > seen]
            wait_ms = min(data.get("waitMs", 0), 2_000)
            if wait_ms and not self.ended:
                self.end_event.clear()
                try:
                    await asyncio.wait_for(self.end_event.wait(), wait_ms / 1000)
                except asyncio.TimeoutError:
                    pass
            running = [[task, it["run"], it["saved"], it["percent"], self.measure(it)]
                       for task, it in self.runs.items()]
            return self.answer(200, running=running, endedRuns=self.ended[:500])
        return self.answer(404)

    @staticmethod
    def measure(it):
        if it["tail"] is not None:
            return it["tail"]
        return it["use"] * it["percent"] // 100

    def start_run(self, data):
        task, run = data["task"], data["run"]
        spec = json.loads(data["spec"])
        self.extend(data["deadlineMs"])
        it = self.runs.get(task)
        if it and it["run"] == run:
            return self.answer(200)
        reason = None
        if data["deadlineMs"] <= self.clock_ms():
            reason = "late"
        elif run <= self.highest.get(task, 0) or it:
            reason = "old"
        capacity = self.options["capacity"]
        cpu, mem = spec.get("cpu", 1000), spec.get("memMb", 256)
        if reason is None and self.options["guards"] and (
                self.used("cpu") + cpu > capacity["cpu"]
                or self.used("memMb") + mem > capacity["memMb"]):
            reason = "room"
        if reason:
            self.log("rejected", task=task, run=run, reason=reason)
            return self.answer(409, reason=reason)
        self.runs[task] = {"run": run, "cpu": cpu, "memMb": mem, "percent": 100,
                           "saved": data.get("checkpoint", ""), "stopping": False}
        self.log("start", task=task, run=run, fence=data.get("fencingToken", 0),
                 cpuUsed=self.used("cpu"), cpuCapacity=capacity["cpu"])
        how = spec.get("end", "done")
        if isinstance(how, list):
            how = how[min(run, len(how)) - 1]
        # The tail of a serving task, or the processor use of any other at full pace.
        self.runs[task]["tail"] = spec.get("tailMs")
        self.runs[task]["use"] = spec.get("use", 0)
        if how != "lasts":
            asyncio.create_task(self.work(task, run, spec.get("runMs", 500), how))
        return self.answer(200)

    async def work(self, task, run, left_ms, how):
        """Works on a run at its pace until it is done."""
        worked_at = time.monotonic()
        while True:
            it = self.runs.get(task)
            if not it or it["run"] != run:
                return
            if left_ms <= 0:
                self.end(task, how)
                return
            await asyncio.sleep(min(left_ms / 1000, 0.05))
            now = time.monotonic()
            left_ms -= (now - worked_at) * 10 * it["percent"]
            worked_at = now

    def end_if(self, task, run, how):
        it = self.runs.get(task)
        if it and it["run"] == run:
            self.end(task, how)

    async def keep_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms() >= self.deadline_ms:
                for task in list(self.runs):
                    self.end(task, "lapsed")

    async def beat(self):
        host, port = self.options["store"].split(":")
        listed = None
        while True:
            self.seq += 1
            entry = {"service": self.options["service"], 
                     "address": self.options.get("shown") or self.options["address"],
                     "zone": "zone-a", "version": "v1", "slots": 8, "state": self.state,
                     "coldRemainingMs": 0, "capacity": self.options["capacity"],
                     "labels": self.options["labels"], "clockMs": self.clock_ms(),
                     "born": self.born, "seq": self.seq}
            if self.state == "draining":
                entry["remainingMs"] = 2_000
            path = f"/standin/servers/{self.id}"
            status, _ = await call(host, int(port), "POST", path, entry)
            if status == 200 and listed != self.options["labels"]:
                listed = self.options["labels"]
                self.log("listed", labels=listed)
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.1)

    async def run(self):
        host, port = self.options["address"].split(":")
        await Server(self.handle).start(host, int(port))
        self.log("boot", born=self.born, labels=self.options["labels"])
        await asyncio.gather(self.keep_lease(), self.beat())


# --- A proxy ----------------------------------------------------------------------------------

class Proxy:
    """Stands before one runner. Passes each call on; `choose(path, data)` may return a time in
    seconds: that call gets no answer, and is passed on so much later."""

    def __init__(self, target, choose, note):
        self.target = target
        self.choose = choose
        self.note = note

    async def start(self):
        self.address = f"127.0.0.1:{free_port()}"
        host, port = self.address.split(":")
        await Server(self.handle).start(host, int(port))
        return self

    async def handle(self, method, path, query, headers, body):
        data = json.loads(body) if body else {}
        delay_s = self.choose(path, data)
        if delay_s is not None:
            asyncio.create_task(self.pass_later(delay_s, method, path, headers, data))
            await asyncio.sleep(delay_s)
            return None
        status, answer = await self.pass_on(method, path, headers, data)
        return (status, answer, {}) if status else None

    async def pass_on(self, method, path, headers, data):
        host, port = self.target.split(":")
        kept = {it: headers[it] for it in ("expect-instance",) if it in headers}
        return await call(host, int(port), method, path, data, kept)

    async def pass_later(self, delay_s, method, path, headers, data):
        await asyncio.sleep(delay_s)
        status, answer = await self.pass_on(method, path, headers, data)
        self.note(f"late call: {path} {data.get('task')} run {data.get('run')} -> {status} {answer}")


# --- A case -----------------------------------------------------------------------------------

class Case:
    """Starts the processes of a case, records what happens, and ends what it started."""

    def __init__(self, folder):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_at = time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.work = tempfile.TemporaryDirectory(prefix="persimmonshift-review-")
        self.processes = []
        self.runners = {}
        self.daemons = {}
        self.events = []
        self.waiters = []

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.started_at:8.3f} s  {text}\n")
        self.record.flush()

    async def start_store(self):
        self.store = await Store().start()

    async def put_manifest(self, version=1, services=None, routes=None):
        services = services or [{"name": "svc", "healthPath": "/healthz", "maxConns": 64,
                                 "protocol": "h1", "tls": False, "admissionControl": True,
                                 "standby": False}]
        routes = routes or [{"name": "jobs", "host": "jobs.example", "prefix": "/jobs/",
                             "kind": "non_idempotent", "timeoutMs": 3000,
                             "targetDurationMs": 1000, "priority": 0, "service": "svc",
                             "maxAttempts": 3, "stretch": 2.0}]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                  "idleTimeoutMs": 15000}
        await self.store.put_json("op/config", {"version": version, "routes": routes,
                                                "services": services, "limits": limits})
        self.note(f"manifest {version} is written")

    async def spawn(self, *args, env=None, stdout=None):
        process = await asyncio.create_subprocess_exec(
            *args, env=env, stdout=stdout, stderr=asyncio.subprocess.DEVNULL, cwd=ROOT)
        self.processes.append(process)
        return process

    async def start_runner(self, name, cpu=16000, mem=64000, labels=None, service="svc",
                           guards=True, address=None, identity=None, shown=None):
        """Starts a runner; a restart of the same name keeps its address and id, and its labels
        unless others are given."""
        known = self.runners.get(name)
        options = known["options"] | ({"labels": labels} if labels else {}) if known else {
            "id": identity or f"i-{name}", "store": self.store.address, "service": service,
            "address": address or f"127.0.0.1:{free_port()}", "guards": guards, "shown": shown,
            "capacity": {"cpu": cpu, "memMb": mem, "gpu": 0}, "labels": labels or ["a", "r1-1"]}
        process = await self.spawn(sys.executable, os.path.abspath(__file__), "runner",
                                   json.dumps(options), stdout=asyncio.subprocess.PIPE)
        self.runners[name] = {"options": options, "process": process}
        asyncio.create_task(self.follow(name, process))

    async def follow(self, name, process):
        while True:
            line = await process.stdout.readline()
            if not line:
                return
            event = json.loads(line) | {"name": name, "at": time.monotonic()}
            self.events.append(event)
            shown = {key: it for key, it in event.items() if key not in ("name", "at", "runner")}
            self.note(f"runner {event['runner']}: {json.dumps(shown)}")
            for waiter in list(self.waiters):
                if waiter[0](event) and not waiter[1].done():
                    waiter[1].set_result(event)

    async def wait_event(self, matches, timeout):
        """Waits for the next event of a runner that matches; None if none comes in time."""
        future = asyncio.get_running_loop().create_future()
        waiter = (matches, future)
        self.waiters.append(waiter)
        try:
            return await asyncio.wait_for(future, timeout)
        except asyncio.TimeoutError:
            return None
        finally:
            self.waiters.remove(waiter)

    def crash_runner(self, name):
        self.note(f"runner i-{name} crashes")
        self.runners[name]["process"].kill()

    def signal_runner(self, name, number):
        self.runners[name]["process"].send_signal(number)

    def settings_of(self, name):
        ports = [free_port() for _ in range(4)]
        return {
            "nodeName": name, "role": "entry", "machineClass": "edge", "serves": ["edge"],
            "ip": "127.0.0.1", "zone": "zone-a", "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listenAddrs": {"frontend": f"127.0.0.1:{ports[0]}",
                            "readiness": f"127.0.0.1:{ports[1]}"},
            "portRange": [ports[2], ports[2]], "seeds": [], "bootstrap": True,
            "inTolerance": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1100,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regionCount": 0},
            "bounds": {"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6,
                       "configApplyMs": 2000, "holdMaxMs": HOLD_MAX_MS, "stopMs": STOP_MS,
                       "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
                       "early_ms": 250, "finish_s": 14, "status_s": 120},
            "orders": "invoke",
            "platform": {"address": self.store.address, "form": "kv", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                         "ttlMinMs": 1000},
        }

    async def start_daemon(self, name):
        """Starts an edge node with the command of the deploy file."""
        known = self.daemons.get(name)
        settings = known["settings"] if known else self.settings_of(name)
        path = os.path.join(self.work.name, f"{name}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.work.name, f"{name}.log"), "a")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.work.name,
               "PERSIMMONSHIFT_BOOT": path}
        process = await self.spawn("target/release/persimmonshift-platform", env=env, stdout=log)
        self.daemons[name] = {"settings": settings, "process": process, "log": log.name}
        self.note(f"edge node {name} is started")

    def kill_daemon(self, name):
        self.note(f"edge node {name} is killed")
        self.daemons[name]["process"].kill()

    def signal_daemon(self, name, number):
        self.note(f"edge node {name} gets signal {signal.Signals(number).name}")
        self.daemons[name]["process"].send_signal(number)

    async def wait_ready(self, names, timeout=15):
        for name in names:
            host, port = self.daemons[name]["settings"]["listenAddrs"]["readiness"].split(":")
            until = time.monotonic() + timeout
            while (await call(host, int(port), "GET", "/persimmonshift/readyz"))[0] != 200:
                if time.monotonic() > until:
                    raise RuntimeError(f"{name} does not become ready")
                await asyncio.sleep(0.1)

    async def wait_owner(self, timeout=15):
        """Waits until a node owns the group and returns its name."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            owner = self.owner()
            if owner:
                return owner
            await asyncio.sleep(0.05)
        raise RuntimeError("no node takes the group")

    def owner(self):
        """The node that wrote to the store last as the owner of the only group."""
        for key, item in self.store.items.items():
            if key.startswith("ps/m/own/"):
                return base64.b64decode(item["value"]).decode().split("#")[0]
        return None

    async def client(self, name, method, path, body=None, timeout=3.0, host="jobs.example"):
        address, port = self.daemons[name]["settings"]["listenAddrs"]["frontend"].split(":")
        headers = {"Host": host, "Deadline-Ms": str(int(timeout * 1000))}
        status, answer = await call(address, int(port), method, path, body, headers, timeout)
        self.note(f"client: {method} {path} at {name} -> {status} {answer or ''}")
        return status, answer

    async def submit(self, names, job, body, tries=20):
        """Hands a job in at the nodes in turn until it is accepted."""
        for attempt in range(tries):
            status, _ = await self.client(names[attempt % len(names)], "POST", f"/jobs/{job}", body)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, names, job, tries=10):
        for attempt in range(tries):
            status, answer = await self.client(names[attempt % len(names)], "GET", f"/jobs/{job}")
            if status == 200:
                return answer["state"]
            if status == 410:
                return "unknown"
            await asyncio.sleep(0.3)
        return "no answer"

    async def wait_state(self, names, job, wanted, timeout):
        until = time.monotonic() + timeout
        while True:
            state = await self.state(names, job)
            if state in wanted or time.monotonic() > until:
                return state
            await asyncio.sleep(0.5)

    async def end(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            shutil.copytree(self.work.name, keep, dirs_exist_ok=True)
        self.work.cleanup()


def run_case(folder, body):
    """Runs `body(case)`, which returns True if the rule held, and exits with 0, 1 or 2."""
    async def main():
        case = Case(folder)
        try:
            held = await asyncio.wait_for(body(case), 110)
            case.note("the rule held" if held else "the rule is BROKEN")
            return 0 if held else 1
        except Exception as err:  # The case could not run.
            case.note(f"the case could not run: {type(err).__name__}: {err}")
            return 2
        finally:
            await case.end()
    code = asyncio.run(main())
    print({0: "the rule held", 1: "the rule is broken", 2: "the case could not run"}[code])
    sys.exit(code)


if __name__ == "__main__" and sys.argv[1:2] == ["runner"]:
    asyncio.run(Runner(json.loads(sys.argv[2])).run())
