import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Writes what was sent, answered and run. */
final class Record {
    private final Path path;
    private final long startNs = System.nanoTime();

    Record(Path path) throws IOException {
        this.path = path;
        Files.deleteIfExists(path);
    }

    synchronized void line(String text) {
        try {
            Files.writeString(path, String.format("%8.3f %s%n", (System.nanoTime() - startNs) / 1e9, text),
                StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
