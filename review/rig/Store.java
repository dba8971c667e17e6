import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in for the platform's store: rows-tx, rows-get and rows-feed as PROTOCOL.md describes them. It never misbehaves. */
final class Store {
    private static final long TRANSACTION_MS = 3;
    private static final int PAGE_ROWS = 500;

    private record Row(String table, String part, String key, String value, long version) {}

    private final Map<String, TreeMap<String, Row>> parts = new HashMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final List<Long> historyVersions = new ArrayList<>();
    private long version = 1;
    private final HttpServer server;
    final int port;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(Rig::daemon));
        server.createContext("/v1/rows-tx", exchange -> answer(exchange, this::transact));
        server.createContext("/v1/rows-get", exchange -> answer(exchange, this::get));
        server.createContext("/v1/rows-feed", exchange -> answer(exchange, this::feed));
        server.start();
        port = server.getAddress().getPort();
    }

    private interface Handler {
        int handle(Map<String, String> query, String body, Map<String, Object> answer) throws InterruptedException;
    }

    private void answer(HttpExchange exchange, Handler handler) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, Object> answer = new HashMap<>();
        int status;
        try {
            status = handler.handle(Rig.query(exchange.getRequestURI().getRawQuery()), body, answer);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        answer.put("nowMs", Rig.nowMs());
        Rig.respond(exchange, status, answer);
    }

    @SuppressWarnings("unchecked")
    private int transact(Map<String, String> query, String body, Map<String, Object> answer) throws InterruptedException {
        Map<String, Object> change = Json.object(body);
        synchronized (this) {
            Thread.sleep(TRANSACTION_MS);
            boolean holds = true;
            List<Object> current = new ArrayList<>();
            for (Object item : (List<Object>) change.getOrDefault("expectedRev", List.of())) {
                Map<String, Object> expected = (Map<String, Object>) item;
                Row row = find(text(expected, "table"), text(expected, "part"), text(expected, "key"));
                if (row != null) current.add(wire(row));
                holds &= (row == null ? 0 : row.version) == Json.number(expected, "ver", 0);
            }
            answer.put("ver", version);
            if (!holds) {
                answer.put("rows", current);
                return 412;
            }
            version++;
            for (Object item : (List<Object>) change.getOrDefault("puts", List.of())) {
                Map<String, Object> put = (Map<String, Object>) item;
                store(new Row(text(put, "table"), text(put, "part"), text(put, "key"), text(put, "value"), version));
            }
            for (Object item : (List<Object>) change.getOrDefault("deletes", List.of())) {
                Map<String, Object> delete = (Map<String, Object>) item;
                remove(text(delete, "table"), text(delete, "part"), text(delete, "key"));
            }
            answer.put("ver", version);
            notifyAll();
            return 200;
        }
    }

    private int get(Map<String, String> query, String body, Map<String, Object> answer) {
        synchronized (this) {
            TreeMap<String, Row> rows = parts.getOrDefault(query.get("table") + "\n" + query.getOrDefault("part", ""), new TreeMap<>());
            int limit = Math.min(PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + PAGE_ROWS)));
            List<Object> found = new ArrayList<>();
            boolean hasMore = false;
            for (Row row : rows.tailMap(query.getOrDefault("from", ""), true).values()) {
                if (query.containsKey("target") && row.key.compareTo(query.get("target")) >= 0) break;
                if (found.size() == limit) {
                    hasMore = true;
                    break;
                }
                found.add(wire(row));
            }
            answer.put("rows", found);
            answer.put("morePages", hasMore);
            answer.put("ver", version);
            return 200;
        }
    }

    private int feed(Map<String, String> query, String body, Map<String, Object> answer) throws InterruptedException {
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        long untilMs = Rig.nowMs() + Math.min(30_000, Long.parseLong(query.getOrDefault("waitMs", "0")));
        synchronized (this) {
            while (true) {
                List<Object> found = new ArrayList<>();
                for (int i = history.size() - 1; i >= 0 && historyVersions.get(i) > after; i--) {
                    if (history.get(i).get("table").equals(query.get("table"))) found.add(0, history.get(i));
                }
                long leftMs = untilMs - Rig.nowMs();
                if (!found.isEmpty() || leftMs <= 0) {
                    answer.put("rows", found);
                    answer.put("ver", version);
                    return 200;
                }
                wait(leftMs);
            }
        }
    }

    /** A write of the operator or of a worker. */
    synchronized void put(String table, String key, Object value) {
        version++;
        String encoded = Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8));
        store(new Row(table, "", key, encoded, version));
        notifyAll();
    }

    synchronized void delete(String table, String key) {
        version++;
        remove(table, "", key);
        notifyAll();
    }

    /** The content of the row [key] in [table], which the system writes in a part of its own; null if there is none. */
    synchronized String content(String table, String key) {
        for (TreeMap<String, Row> rows : parts.values()) {
            Row row = rows.get(key);
            if (row != null && row.table.equals(table)) return new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
        }
        return null;
    }

    /** Adds copies of the rows of the job [id] that the system has stored, for jobs of [ids]; [edit] changes the content of each. */
    synchronized void copyJob(String id, List<String> ids, java.util.function.BinaryOperator<String> edit) {
        version++;
        for (TreeMap<String, Row> rows : List.copyOf(parts.values())) {
            Row row = rows.get(id);
            if (row == null) continue;
            String content = new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
            for (String copy : ids) {
                String value = edit.apply(copy, content.replace(id, copy));
                String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
                rows.put(copy, new Row(row.table, row.part, copy, encoded, version));
            }
        }
    }

    /** The number of rows in [table], in all its parts. */
    synchronized int count(String table) {
        return parts.entrySet().stream().filter(part -> part.getKey().startsWith(table + "\n")).mapToInt(part -> part.getValue().size()).sum();
    }

    private Row find(String table, String part, String key) {
        TreeMap<String, Row> rows = parts.get(table + "\n" + part);
        return rows == null ? null : rows.get(key);
    }

    private void store(Row row) {
        parts.computeIfAbsent(row.table + "\n" + row.part, name -> new TreeMap<>()).put(row.key, row);
        history.add(wire(row));
        historyVersions.add(row.version);
    }

    private void remove(String table, String part, String key) {
        TreeMap<String, Row> rows = parts.get(table + "\n" + part);
        if (rows == null || rows.remove(key) == null) return;
        history.add(Json.of("table", table, "part", part, "key", key, "ver", version, "deleted", true));
        historyVersions.add(version);
    }

    private static Map<String, Object> wire(Row row) {
        return Json.of("table", row.table, "part", row.part, "key", row.key, "value", row.value, "ver", row.version);
    }

    private static String text(Map<String, Object> map, String key) {
        return (String) map.getOrDefault(key, "");
    }
}
