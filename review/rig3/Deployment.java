import java.io.File;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment: the store, machines in three pools, and entries started with the run line of the deploy file. */
final class Deployment implements AutoCloseable {
    static final String HOST = "puxa.example";

    /** An entry; started again after it has ended, as the platform does. */
    final class Entry {
        final String name;
        final String ip;
        final String front;
        final Path settings;
        volatile Process process;
        volatile int ownExits = 0;

        Entry(String name, String ip, String front, Path settings) {
            this.name = name;
            this.ip = ip;
            this.front = front;
            this.settings = settings;
        }

        void start() throws Exception {
            ProcessBuilder builder = new ProcessBuilder(runWords);
            builder.environment().put("CORIANDERROCK_NODE_FILE", settings.toString());
            File log = folder.resolve(name + ".log").toFile();
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            process = builder.start();
            record.line("entry " + name + " started");
            process.onExit().thenAccept(ended -> {
                if (isClosing) return;
                ownExits++;
                record.line("entry " + name + " ended by itself with status " + ended.exitValue());
                Fleet.later(500, this::start);
            });
        }
    }

    final Record record;
    final Store store;
    final Fleet fleet;
    final Path folder;
    final List<Entry> entries = new ArrayList<>();
    private final List<String> runWords;
    private volatile boolean isClosing = false;
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(2)).build();

    Deployment(Record record, int entryCount) throws Exception {
        this.record = record;
        folder = Files.createTempDirectory("review-rig3-");
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IllegalStateException("no run line in deploy/system.toml");
        runWords = List.of(run.group(1).split(" "));
        int net = (int) (ProcessHandle.current().pid() % 200) + 20;
        String base = "127.0." + net + ".";
        store = new Store(base + "2");
        fleet = new Fleet(store, record, base + "3");
        List<String> ips = new ArrayList<>();
        for (int i = 0; i < entryCount; i++) ips.add(base + (10 + i));
        int peerPort = freePort(ips);
        for (int i = 0; i < entryCount; i++) {
            String ip = ips.get(i);
            String front = ip + ":" + freePort(List.of(ip));
            Map<String, String> values = settings("edge-a-" + (i + 1), ip, front, peerPort, ips);
            Path file = folder.resolve("edge-a-" + (i + 1) + ".toml");
            Files.writeString(file, fill(Files.readString(Path.of("deploy/settings.toml")), values));
            entries.add(new Entry("edge-a-" + (i + 1), ip, front, file));
        }
    }

    private Map<String, String> settings(String name, String ip, String front, int peerPort, List<String> ips) throws Exception {
        Map<String, String> v = new HashMap<>();
        v.put("nodeName", name);
        v.put("zone", "zone-a");
        v.put("ip", ip);
        v.put("limits.cpuShare", "0.75");
        v.put("limits.cores", "1");
        v.put("listen.front", front);
        v.put("listen.ready", ip + ":" + freePort(List.of(ip)));
        v.put("portRange.0", "" + peerPort);
        List<Object> seeds = new ArrayList<>();
        for (String seed : ips) seeds.add(seed + ":" + peerPort);
        v.put("seeds", Json.write(seeds));
        v.put("platform.addr", store.http.address);
        v.put("cloud.addr", fleet.cloud.address);
        v.put("advice", fleet.cloud.address);
        v.put("platform.rowBytes", "65536");
        v.put("platform.readsPerS", "2000");
        v.put("platform.writesPerS", "600");
        v.put("platform.partWritesS", "300");
        v.put("platform.txMs", "3.0");
        v.put("bounds.graceS", "6");
        v.put("bounds.leaseMs", "3000");
        v.put("bounds.holdMaxMs", "" + Fleet.HOLD_MAX_MS);
        v.put("bounds.remoteFactor", "1.5");
        return v;
    }

    /** Fills in the template as the deploy page tells it, as far as the template uses that. */
    private static String fill(String template, Map<String, String> values) {
        return Pattern.compile("\\{\\{([^}|]+)(\\|json)?}}").matcher(template).replaceAll(m -> {
            String value = values.getOrDefault(m.group(1), "");
            boolean isQuoted = m.group(2) != null && !value.startsWith("[");
            return Matcher.quoteReplacement(isQuoted ? Json.write(value) : value);
        });
    }

    private static int freePort(List<String> ips) throws Exception {
        for (int attempt = 0; attempt < 50; attempt++) {
            int port;
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ips.get(0)))) {
                port = socket.getLocalPort();
            }
            boolean isFree = true;
            for (String ip : ips) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                    isFree &= socket.isBound();
                } catch (java.io.IOException e) {
                    isFree = false;
                }
            }
            if (isFree) return port;
        }
        throw new IllegalStateException("no free port");
    }

    /** Writes the configuration: a queue for each of two pools, and a pool of spare machines in standby. */
    void configure(int attempts) {
        List<Object> routes = new ArrayList<>();
        for (String pool : List.of("tally", "ports")) {
            routes.add(Json.map("name", "r-" + pool, "host", HOST, "prefix", "/" + pool + "/", "kind", "mutating", "timeoutMs", 3_000,
                "targetLatencyMs", 600, "priority", 0, "service", pool, "attempts", attempts, "stretchFactor", 1.6));
        }
        List<Object> services = new ArrayList<>();
        for (String pool : List.of("tally", "ports", "spare")) {
            services.add(Json.map("name", pool, "healthPath", "/healthz", "maxConns", 64, "proto", "h1", "tls", false,
                "admissionCheck", true, "standby", pool.equals("spare")));
        }
        store.write("op", "config", Json.map("version", 1, "routes", routes, "services", services, "limits",
            Json.map("maxHeaderBytes", 16_384, "maxBodyBytes", 262_144, "headerTimeoutMs", 3_000, "idleTimeoutMs", 15_000)));
    }

    void start() throws Exception {
        for (Entry entry : entries) entry.start();
    }

    /** Sends one request to an entry; returns "STATUS BODY", or "none" if there is no answer. */
    String call(Entry entry, String method, String path, String body) {
        return call(entry, method, path, body, 3_000);
    }

    /** The same; the client leaves after [patienceMs]. */
    String call(Entry entry, String method, String path, String body, long patienceMs) {
        String answer;
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry.front + path))
                .header("Host", HOST).header("Content-Type", "application/json").header("Corianderrock-Deadline-Ms", "3000")
                .timeout(Duration.ofMillis(patienceMs))
                .method(method, body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body))
                .build();
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            answer = response.statusCode() + " " + response.body();
        } catch (Exception e) {
            answer = "none (" + e.getClass().getSimpleName() + ")";
        }
        record.line(method + " " + path + " at " + entry.name + (body == null ? "" : " " + body) + " -> " + answer);
        return answer;
    }

    /** Sends a job until an entry accepts it, at another entry each time, as a client with retries does; false if none did. */
    boolean submit(String pool, String id, String body, long forMs) throws InterruptedException {
        long endNs = System.nanoTime() + forMs * 1_000_000;
        for (int i = 0; System.nanoTime() < endNs; i++) {
            if (call(entries.get(i % entries.size()), "POST", "/" + pool + "/" + id, body).startsWith("2")) return true;
            Thread.sleep(300);
        }
        return false;
    }

    @Override
    public void close() {
        isClosing = true;
        for (Entry entry : entries) {
            if (entry.process != null) entry.process.destroyForcibly();
        }
        for (Entry entry : entries) {
            try {
                if (entry.process != null) entry.process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        folder.toFile().delete();
    }
}
