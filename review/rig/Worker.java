import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** Stand-in for one life of a worker, as PROTOCOL.md describes it under "Running tasks". It is sound until it is crashed. */
final class Worker {
    private static final int END_ROWS = 500;
    static final long CPU = 32_000;
    static final long MEMORY_MB = 131_072;

    private static final class Run {
        final long number;
        final long startedMs;
        final long workMs;
        final long cpu;
        final long memMb;

        Run(long number, long startedMs, Rig.TaskKind kind) {
            this.number = number;
            this.startedMs = startedMs;
            workMs = kind.workMs();
            cpu = kind.cpu();
            memMb = kind.memMb();
        }
    }

    private record End(long number, String task, long run, String how) {}

    final String id;
    final String machine;
    final String service;
    final String rack;
    private final Rig rig;
    private final HttpServer server;
    private final long bornMs = System.currentTimeMillis();
    private final long clockStartMs = Rig.nowMs() - 100_000;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> closedRuns = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private long endCount;
    private long fence;
    private long leaseEndMs;
    private long beats;
    private boolean isUp = true;

    Worker(Rig rig, String id, String machine, String service, String rack) throws IOException {
        this.rig = rig;
        this.id = id;
        this.machine = machine;
        this.service = service;
        this.rack = rack;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(Rig::daemon));
        server.createContext("/v1/run-start", exchange -> answer(exchange, this::start));
        server.createContext("/v1/run-stop", exchange -> answer(exchange, this::stop));
        server.createContext("/v1/hold", exchange -> answer(exchange, this::hold));
        server.createContext("/v1/pace", exchange -> answer(exchange, (order, answer) -> 200));
        server.start();
        Rig.daemon(this::live).start();
    }

    private interface Order {
        int handle(Map<String, Object> order, Map<String, Object> answer) throws InterruptedException;
    }

    private void answer(HttpExchange exchange, Order handler) throws IOException {
        Map<String, Object> order = Json.object(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
        Map<String, Object> answer = new LinkedHashMap<>();
        int status = 421;
        String expected = exchange.getRequestHeaders().getFirst("Corianderrock-Expect-Instance");
        if (expected == null || expected.equals(id)) {
            try {
                synchronized (this) {
                    status = isUp ? handler.handle(order, answer) : -1;
                }
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
        if (status < 0 || !isUp) {
            exchange.close();
            return;
        }
        answer.put("clockMs", clockMs());
        answer.put("born", bornMs);
        Rig.respond(exchange, status, answer);
    }

    private long clockMs() {
        return Rig.nowMs() - clockStartMs;
    }

    private int refuse(Map<String, Object> answer, String reason) {
        answer.put("reason", reason);
        return 409;
    }

    private boolean isStale(Map<String, Object> order) {
        long given = Json.number(order, "fence", 0);
        if (given < fence) return true;
        fence = given;
        return false;
    }

    private void extendLease(Map<String, Object> order) {
        long expiryMs = Json.number(order, "expiryMs", 0);
        leaseEndMs = Math.max(leaseEndMs, Math.min(expiryMs, clockMs() + Rig.HOLD_MAX_MS));
    }

    private int start(Map<String, Object> order, Map<String, Object> answer) {
        String task = (String) order.get("task");
        long number = Json.number(order, "runId", 0);
        if (isStale(order)) return refuse(answer, "fence");
        if (Json.number(order, "expiryMs", 0) <= clockMs()) return refuse(answer, "late");
        extendLease(order);
        Run there = running.get(task);
        if (there != null && there.number == number) return 200;
        if (number <= closedRuns.getOrDefault(task, 0L)) return refuse(answer, "old");
        Rig.TaskKind kind = rig.kindOf(task);
        long cpu = kind.cpu() + running.values().stream().mapToLong(run -> run.cpu).sum();
        long memMb = kind.memMb() + running.values().stream().mapToLong(run -> run.memMb).sum();
        if (there != null || cpu > CPU || memMb > MEMORY_MB) return refuse(answer, "room");
        running.put(task, new Run(number, Rig.nowMs(), kind));
        rig.onRunStarted(this, task, number);
        return 200;
    }

    private int stop(Map<String, Object> order, Map<String, Object> answer) {
        if (isStale(order)) return refuse(answer, "fence");
        String task = (String) order.get("task");
        long number = Json.number(order, "runId", 0);
        closedRuns.merge(task, number, Math::max);
        Run there = running.get(task);
        if (there != null && there.number <= number) end(task, "stopped");
        return 200;
    }

    private int hold(Map<String, Object> order, Map<String, Object> answer) throws InterruptedException {
        if (isStale(order)) return refuse(answer, "fence");
        long acknowledged = Json.number(order, "ackSeq", 0);
        for (End end : ends) if (end.number <= acknowledged) rig.onEndAcknowledged(this, end.task, end.run, end.how);
        ends.removeIf(end -> end.number <= acknowledged);
        extendLease(order);
        long untilMs = Rig.nowMs() + Math.min(2_000, Json.number(order, "waitMs", 0));
        while (ends.isEmpty() && isUp && Rig.nowMs() < untilMs) wait(Math.max(1, untilMs - Rig.nowMs()));
        if (!isUp) return -1;
        List<Object> runRows = new ArrayList<>();
        running.forEach((task, run) -> runRows.add(List.of(task, run.number, "", 100, run.cpu)));
        List<Object> endRows = new ArrayList<>();
        for (End end : ends.subList(0, Math.min(END_ROWS, ends.size()))) endRows.add(List.of(end.number, end.task, end.run, end.how, ""));
        answer.put("running", runRows);
        answer.put("finished", endRows);
        return 200;
    }

    private void end(String task, String how) {
        Run run = running.remove(task);
        closedRuns.merge(task, run.number, Math::max);
        ends.add(new End(++endCount, task, run.number, how));
        rig.onRunEnded(this, task, run.number, how);
        notifyAll();
    }

    /** Ends runs whose work is done or whose lease is over, and writes the worker's row every heartbeat. */
    private void live() {
        long nextBeatMs = 0;
        while (isUp) {
            synchronized (this) {
                for (Map.Entry<String, Run> entry : List.copyOf(running.entrySet())) {
                    if (Rig.nowMs() - entry.getValue().startedMs >= entry.getValue().workMs) end(entry.getKey(), "done");
                    else if (clockMs() >= leaseEndMs) end(entry.getKey(), "lapsed");
                }
            }
            if (Rig.nowMs() >= nextBeatMs && isUp) {
                rig.store.put("servers", id, row());
                nextBeatMs = Rig.nowMs() + Rig.HEARTBEAT_MS;
            }
            Rig.sleep(5);
        }
    }

    private Map<String, Object> row() {
        return Json.of(
            "service", service, "addr", "127.0.0.1:" + server.getAddress().getPort(), "zone", "zone-a", "version", "v1", "slots", 8,
            "state", "ready", "coldLeftMs", 0, "capacity", Json.of("cpu", CPU, "memMb", MEMORY_MB, "gpu", 0),
            "labels", List.of("a", rack), "clockMs", clockMs(), "seq", ++beats, "machine", machine, "born", bornMs);
    }

    synchronized boolean runs(String task) {
        return running.containsKey(task);
    }

    synchronized Map<String, Long> runNumbers() {
        Map<String, Long> numbers = new LinkedHashMap<>();
        running.forEach((task, run) -> numbers.put(task, run.number));
        return numbers;
    }

    boolean isUp() {
        return isUp;
    }

    /** The worker crashes: it answers nothing any more, its port refuses, and what ran on it is gone. */
    void crash() {
        synchronized (this) {
            isUp = false;
            for (Map.Entry<String, Run> entry : running.entrySet()) rig.onRunLost(this, entry.getKey(), entry.getValue().number);
            running.clear();
            notifyAll();
        }
        server.stop(0);
    }
}
