import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** A small HTTP server; each request is handled on a thread of its own. */
final class Http {
    interface Handler {
        Answer handle(String method, String path, Map<String, String> query, HttpExchange exchange, String body) throws Exception;
    }

    /** A response; status 0 closes the connection without one. */
    record Answer(int status, Object body) {}

    final HttpServer server;
    final String address;

    Http(String ip, Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 256);
        address = ip + ":" + server.getAddress().getPort();
        server.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        }));
        server.createContext("/", exchange -> {
            try {
                String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                Map<String, String> query = new HashMap<>();
                String raw = exchange.getRequestURI().getRawQuery();
                if (raw != null) {
                    for (String pair : raw.split("&")) {
                        int eq = pair.indexOf('=');
                        query.put(pair.substring(0, eq), java.net.URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
                    }
                }
                Answer answer = handler.handle(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, exchange, body);
                if (answer.status() > 0) {
                    byte[] bytes = answer.body() == null ? new byte[0] : Json.write(answer.body()).getBytes(StandardCharsets.UTF_8);
                    exchange.getResponseHeaders().set("Content-Type", "application/json");
                    exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
                    if (bytes.length > 0) exchange.getResponseBody().write(bytes);
                }
            } catch (IOException e) {
                // The caller has gone.
            } catch (Exception e) {
                e.printStackTrace();
                exchange.sendResponseHeaders(500, -1);
            } finally {
                exchange.close();
            }
        });
        server.start();
    }

    void stop() {
        server.stop(0);
    }
}
