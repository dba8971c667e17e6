import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: rows with versions, transactions and a feed. Everything under one lock. */
final class Store {
    private record Row(String table, String part, String key, String value, long ver, boolean deleted) {}

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private long ver = 0;
    private final long startNs = System.nanoTime();
    final Http http;

    Store(String ip) throws Exception {
        http = new Http(ip, (method, path, query, exchange, body) -> {
            switch (path) {
                case "/v1/rows-tx": return transact(Json.object(body));
                case "/v1/rows-get": return get(query);
                case "/v1/rows-feed": return feed(query);
                default: return new Http.Answer(404, null);
            }
        });
    }

    private long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    private static String id(String table, String part, String key) {
        return table + "\u0001" + part + "\u0001" + key;
    }

    private static Map<String, Object> wire(Row row) {
        Map<String, Object> map = Json.map("table", row.table, "part", row.part, "key", row.key);
        if (row.deleted) map.put("deleted", true); else map.put("value", row.value);
        map.put("ver", row.ver);
        return map;
    }

    private static String text(Map<?, ?> map, String field) {
        Object value = map.get(field);
        return value == null ? "" : (String) value;
    }

    private Http.Answer transact(Map<String, Object> tx) throws InterruptedException {
        if (takeLate(tx)) {
            Fleet.later(lateMs, () -> {
                Http.Answer answer = apply(tx);
                if (record != null) record.line("store: the late write is " + (answer.status() == 200 ? "done" : "refused with " + answer.status()));
            });
            // The connection delivers nothing further; its other end gives it up.
            Thread.sleep(20_000);
            return new Http.Answer(0, null);
        }
        return apply(tx);
    }

    private String lateKey;
    private long lateMs;
    private Record record;

    /** The next write that puts a row with [key] gets no answer and is done [ms] later, if its condition still holds. */
    synchronized void loseNext(String key, long ms, Record record) {
        lateKey = key;
        lateMs = ms;
        this.record = record;
    }

    @SuppressWarnings("unchecked")
    private synchronized boolean takeLate(Map<String, Object> tx) {
        if (lateKey == null) return false;
        for (Object o : (List<Object>) tx.getOrDefault("puts", List.of())) {
            if (!text((Map<?, ?>) o, "key").equals(lateKey)) continue;
            lateKey = null;
            record.line("store: a write is left without an answer and will be done in " + lateMs + " ms");
            return true;
        }
        return false;
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Answer apply(Map<String, Object> tx) {
        List<Object> expected = (List<Object>) tx.getOrDefault("expectedRev", List.of());
        boolean isConflict = false;
        List<Object> current = new ArrayList<>();
        for (Object o : expected) {
            Map<?, ?> e = (Map<?, ?>) o;
            Row row = rows.get(id(text(e, "table"), text(e, "part"), text(e, "key")));
            long has = row == null ? 0 : row.ver;
            Object want = e.get("ver");
            if (has != (want == null ? 0 : ((Number) want).longValue())) isConflict = true;
            if (row != null) current.add(wire(row));
        }
        if (isConflict) return new Http.Answer(412, Json.map("rows", current, "ver", ver, "nowMs", nowMs()));
        ver++;
        for (Object o : (List<Object>) tx.getOrDefault("puts", List.of())) {
            Map<?, ?> p = (Map<?, ?>) o;
            if (text(p, "table").equals("op") || text(p, "table").equals("servers")) return new Http.Answer(403, null);
            put(new Row(text(p, "table"), text(p, "part"), text(p, "key"), text(p, "value"), ver, false));
        }
        for (Object o : (List<Object>) tx.getOrDefault("deletes", List.of())) {
            Map<?, ?> d = (Map<?, ?>) o;
            remove(text(d, "table"), text(d, "part"), text(d, "key"));
        }
        notifyAll();
        return new Http.Answer(200, Json.map("ver", ver, "nowMs", nowMs()));
    }

    private void put(Row row) {
        rows.put(id(row.table, row.part, row.key), row);
        history.add(row);
    }

    private void remove(String table, String part, String key) {
        if (rows.remove(id(table, part, key)) != null) history.add(new Row(table, part, key, null, ver, true));
    }

    /** Writes as the operator or a worker does; null deletes. */
    synchronized void write(String table, String key, Object value) {
        ver++;
        if (value == null) remove(table, "", key);
        else put(new Row(table, "", key, Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8)), ver, false));
        notifyAll();
    }

    private synchronized Http.Answer get(Map<String, String> query) {
        String table = query.get("table");
        String part = query.getOrDefault("part", "");
        int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
        List<Object> found = new ArrayList<>();
        boolean hasMore = false;
        for (Row row : rows.tailMap(id(table, part, query.getOrDefault("from", ""))).values()) {
            if (!row.table.equals(table) || !row.part.equals(part)) break;
            if (query.containsKey("target") && row.key.compareTo(query.get("target")) >= 0) break;
            if (found.size() == limit) { hasMore = true; break; }
            found.add(wire(row));
        }
        return new Http.Answer(200, Json.map("rows", found, "morePages", hasMore, "ver", ver, "nowMs", nowMs()));
    }

    private synchronized Http.Answer feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long untilMs = nowMs() + Math.min(30_000, Long.parseLong(query.getOrDefault("waitMs", "0")));
        while (true) {
            List<Object> changed = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).ver > after; i--) {
                if (history.get(i).table.equals(query.get("table"))) changed.add(0, wire(history.get(i)));
            }
            long leftMs = untilMs - nowMs();
            if (!changed.isEmpty() || leftMs <= 0) return new Http.Answer(200, Json.map("rows", changed, "ver", ver, "nowMs", nowMs()));
            wait(leftMs);
        }
    }
}
