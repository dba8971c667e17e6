import com.sun.net.httpserver.HttpExchange;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Machines with their workers, and the machine service. Task durations and demands stand in the spec: "ms=6000 cpu=1000". */
final class Fleet {
    static final long HOLD_MAX_MS = 6_000;
    static final long HEARTBEAT_MS = 1_500;

    /** A run on a worker. */
    private static final class Run {
        String task;
        long runId;
        long startMs;
        long durationMs;
        long cpu;
    }

    final class Machine {
        final String name;
        String pool;
        String state = "up";
        Worker worker;

        Machine(String name, String pool) {
            this.name = name;
            this.pool = pool;
        }
    }

    final class Worker {
        final String id;
        final Machine machine;
        final long bornMs = System.currentTimeMillis();
        final long bornNs = System.nanoTime();
        final Http http;
        final Map<String, Run> runs = new LinkedHashMap<>();
        final Map<String, Long> highest = new HashMap<>();
        final List<Object> ends = new ArrayList<>();
        long lastEnd = 0;
        long fence = 0;
        long leaseMs = 0;
        long seq = 0;
        boolean isDown = false;

        Worker(Machine machine) throws Exception {
            this.machine = machine;
            id = String.format("i-%08x", 0x40000000 + ++workerCount);
            http = new Http(ip, this::handle);
            beat();
        }

        long clockMs() {
            return 1_000 + (System.nanoTime() - bornNs) / 1_000_000;
        }

        void beat() {
            store.write("servers", id, Json.map(
                "service", machine.pool, "addr", http.address, "zone", "zone-a", "version", "v1", "slots", 8, "state", "ready",
                "coldLeftMs", 0, "capacity", Json.map("cpu", 32_000, "memMb", 65_536, "gpu", 0), "labels", List.of("a", "r1-1"),
                "clockMs", clockMs(), "seq", ++seq, "born", bornMs, "machine", machine.name));
        }

        /** Ends what is due. Called under the fleet's lock. */
        void advance() {
            long now = clockMs();
            for (Run run : new ArrayList<>(runs.values())) {
                if (now >= leaseMs) end(run, "lapsed");
                else if (run.durationMs >= 0 && now - run.startMs >= run.durationMs) end(run, "done");
            }
        }

        void end(Run run, String how) {
            runs.remove(run.task);
            ends.add(List.of(++lastEnd, run.task, run.runId, how, ""));
            record.line("worker " + id + " ends " + run.task + " run " + run.runId + ": " + how);
            ended.merge(run.task + " " + how, 1, Integer::sum);
            Fleet.this.notifyAll();
        }

        private Http.Answer handle(String method, String path, Map<String, String> query, HttpExchange exchange, String body) throws Exception {
            synchronized (Fleet.this) {
                if (isDown) return new Http.Answer(0, null);
                if (path.equals("/healthz")) return new Http.Answer(200, null);
                String expected = exchange.getRequestHeaders().getFirst("Corianderrock-Expect-Instance");
                if (expected != null && !expected.equals(id)) return new Http.Answer(421, null);
                advance();
                Map<String, Object> order = Json.object(body);
                long orderFence = order.get("fence") == null ? 0 : ((Number) order.get("fence")).longValue();
                if (orderFence < fence) return refuse("fence");
                fence = orderFence;
                switch (path) {
                    case "/v1/run-start": return start(order);
                    case "/v1/run-stop": return stop(order);
                    case "/v1/hold": return hold(order);
                    case "/v1/pace": return new Http.Answer(200, Json.map("clockMs", clockMs(), "born", bornMs));
                    default: return new Http.Answer(404, null);
                }
            }
        }

        private Http.Answer refuse(String reason) {
            return new Http.Answer(409, Json.map("clockMs", clockMs(), "born", bornMs, "reason", reason));
        }

        private void extend(Object expiry) {
            if (expiry != null) leaseMs = Math.max(leaseMs, Math.min(((Number) expiry).longValue(), clockMs() + HOLD_MAX_MS));
        }

        private Http.Answer start(Map<String, Object> order) {
            String task = (String) order.get("task");
            long runId = ((Number) order.get("runId")).longValue();
            long expiry = ((Number) order.get("expiryMs")).longValue();
            if (expiry <= clockMs()) return refuse("late");
            extend(expiry);
            Run present = runs.get(task);
            if (present != null && present.runId == runId) return new Http.Answer(200, Json.map("clockMs", clockMs(), "born", bornMs));
            if (present != null || runId <= highest.getOrDefault(task, 0L)) return refuse("old");
            Run run = new Run();
            run.task = task;
            run.runId = runId;
            run.startMs = clockMs();
            run.durationMs = number((String) order.get("spec"), "ms", 1_000);
            run.cpu = number((String) order.get("spec"), "cpu", 1_000);
            if (runs.values().stream().mapToLong(r -> r.cpu).sum() + run.cpu > 32_000) return refuse("room");
            runs.put(task, run);
            highest.put(task, runId);
            startedWallMs.putIfAbsent(task, System.currentTimeMillis());
            record.line("worker " + id + " starts " + task + " run " + runId + " fence " + fence);
            return new Http.Answer(200, Json.map("clockMs", clockMs(), "born", bornMs));
        }

        private Http.Answer stop(Map<String, Object> order) {
            String task = (String) order.get("task");
            long runId = ((Number) order.get("runId")).longValue();
            highest.merge(task, runId, Math::max);
            Run run = runs.get(task);
            if (run != null && run.runId <= runId) end(run, "stopped");
            return new Http.Answer(200, Json.map("clockMs", clockMs(), "born", bornMs));
        }

        private Http.Answer hold(Map<String, Object> order) throws InterruptedException {
            extend(order.get("expiryMs"));
            long ack = order.get("ackSeq") == null ? 0 : ((Number) order.get("ackSeq")).longValue();
            ends.removeIf(e -> (Long) ((List<?>) e).get(0) <= ack);
            long waitUntil = clockMs() + (order.get("waitMs") == null ? 0 : Math.min(2_000, ((Number) order.get("waitMs")).longValue()));
            long seen = lastEnd;
            while (lastEnd == seen && ends.isEmpty() && clockMs() < waitUntil && !isDown) {
                Fleet.this.wait(10);
                advance();
            }
            if (isDown) return new Http.Answer(0, null);
            List<Object> running = new ArrayList<>();
            for (Run run : runs.values()) running.add(List.of(run.task, run.runId, "", 100, run.cpu));
            List<Object> listed = new ArrayList<>(ends.subList(0, Math.min(500, ends.size())));
            return new Http.Answer(200, Json.map("clockMs", clockMs(), "born", bornMs, "running", running, "finished", listed));
        }
    }

    final Store store;
    final Record record;
    private final String ip;
    private int workerCount = 0;
    final List<Machine> machines = new ArrayList<>();

    /** How often a run of a task has ended in which way, by "TASK HOW". */
    final Map<String, Integer> ended = new HashMap<>();
    final Http cloud;

    /** The time of day of the first start of each task. */
    final Map<String, Long> startedWallMs = new HashMap<>();

    Fleet(Store store, Record record, String ip) throws Exception {
        this.store = store;
        this.record = record;
        this.ip = ip;
        cloud = new Http(ip, (method, path, query, exchange, body) -> {
            synchronized (this) {
                if (path.equals("/v1/machines")) {
                    List<Object> list = new ArrayList<>();
                    for (Machine m : machines) {
                        Map<String, Object> row = Json.map("machine", m.name, "pool", m.pool, "state", m.state, "zone", "zone-a",
                            "labels", List.of("a", "r1-1"), "capacity", Json.map("cpu", 32_000, "memMb", 65_536, "gpu", 0));
                        if (m.worker != null) row.put("id", m.worker.id);
                        list.add(row);
                    }
                    return new Http.Answer(200, Json.map("machines", list, "nextToken", null));
                }
                if (path.equals("/v1/machine-move")) {
                    Map<String, Object> order = Json.object(body);
                    Machine m = machines.stream().filter(x -> x.name.equals(order.get("machine"))).findFirst().orElse(null);
                    if (m == null) return new Http.Answer(400, null);
                    if (m.pool.equals(order.get("pool"))) return new Http.Answer(200, Json.map());
                    if (!m.state.equals("up")) return new Http.Answer(409, Json.map("reason", "busy"));
                    record.line("machine " + m.name + " moves from " + m.pool + " to " + order.get("pool"));
                    down(m, "moving");
                    m.pool = (String) order.get("pool");
                    later(1_500, () -> up(m));
                    return new Http.Answer(200, Json.map());
                }
                return new Http.Answer(404, null);
            }
        });
        // Ends are due by the worker's own clock, whether or not anyone asks it.
        Thread clock = new Thread(() -> {
            while (true) {
                try {
                    Thread.sleep(50);
                    synchronized (this) {
                        for (Machine m : machines) if (m.worker != null) m.worker.advance();
                    }
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        clock.setDaemon(true);
        clock.start();
        Thread beats = new Thread(() -> {
            while (true) {
                try {
                    Thread.sleep(HEARTBEAT_MS);
                    synchronized (this) {
                        for (Machine m : machines) if (m.worker != null) m.worker.beat();
                    }
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        beats.setDaemon(true);
        beats.start();
    }

    static long number(String spec, String name, long other) {
        for (String word : spec.split(" ")) if (word.startsWith(name + "=")) return Long.parseLong(word.substring(name.length() + 1));
        return other;
    }

    interface Action {
        void run() throws Exception;
    }

    static void later(long ms, Action action) {
        Thread t = new Thread(() -> {
            try {
                Thread.sleep(ms);
                action.run();
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        t.setDaemon(true);
        t.start();
    }

    synchronized void add(String pool, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            Machine m = new Machine(String.format("m-%05x", 0x10000 + machines.size()), pool);
            machines.add(m);
            m.worker = new Worker(m);
        }
    }

    /** Ends the worker of the machine at once, with all its connections. Its row goes after three heartbeats of silence. */
    private void down(Machine m, String state) {
        Worker worker = m.worker;
        m.state = state;
        m.worker = null;
        if (worker == null) return;
        worker.isDown = true;
        notifyAll();
        later(0, worker.http::stop);
        boolean isGone = state.equals("moving");
        later(isGone ? 0 : 3 * HEARTBEAT_MS, () -> store.write("servers", worker.id, null));
    }

    private synchronized void up(Machine m) throws Exception {
        m.state = "up";
        m.worker = new Worker(m);
        record.line("machine " + m.name + " is up with worker " + m.worker.id);
    }

    synchronized boolean isRunning(String task) {
        for (Machine m : machines) {
            if (m.worker == null) continue;
            m.worker.advance();
            if (m.worker.runs.containsKey(task)) return true;
        }
        return false;
    }

    /** The processor time, in thousandths of a core, that all runs take. */
    synchronized long usedCpu() {
        long used = 0;
        for (Machine m : machines) {
            if (m.worker != null) used += m.worker.runs.values().stream().mapToLong(r -> r.cpu).sum();
        }
        return used;
    }
}
