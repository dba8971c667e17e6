import java.nio.file.Path;

/** A client leaves before its job is acknowledged and cancels it at another entry while the store is still to do the write. */
final class CancelWhileStoring {
    static final long CANCEL_MS = 3_000;
    static final long STOP_MS = 200;
    static final long CONTACT_MS = 3_000;
    static final long LATE_MS = 2_000;

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0]));
        int status = 2;
        try (Deployment deployment = new Deployment(record, 3)) {
            status = play(deployment, record, hasTrouble);
        } catch (Exception e) {
            record.line("could not run: " + e);
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static int play(Deployment deployment, Record record, boolean hasTrouble) throws Exception {
        deployment.configure(3);
        deployment.fleet.add("tally", 8);
        deployment.fleet.add("ports", 4);
        deployment.fleet.add("spare", 4);
        deployment.start();
        String job = "{\"spec\":\"ms=-1 cpu=1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":256,\"longRunning\":true}]}";
        if (!deployment.submit("tally", "1a2b3c4d5e6f7081", "{\"spec\":\"ms=500 cpu=1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":256}]}", 20_000)) {
            record.line("could not run: the first job was not accepted");
            return 2;
        }
        Thread.sleep(4_000);
        String id = "5c0e7a21d94b36f8";
        if (hasTrouble) deployment.store.loseNext(id, LATE_MS, record);
        deployment.call(deployment.entries.get(0), "POST", "/tally/" + id, job, 180);
        String cancelled = deployment.call(deployment.entries.get(1), "DELETE", "/tally/" + id, null);
        boolean isAcknowledged = cancelled.startsWith("2") || cancelled.startsWith("410");
        for (int n = 0; n < 5 && !isAcknowledged; n++) {
            Thread.sleep(300);
            cancelled = deployment.call(deployment.entries.get(n % 3), "DELETE", "/tally/" + id, null);
            isAcknowledged = cancelled.startsWith("2") || cancelled.startsWith("410");
        }
        if (!isAcknowledged) {
            record.line("could not run: the cancelling was not acknowledged");
            return 2;
        }
        record.line("the cancelling is acknowledged");
        Thread.sleep(CANCEL_MS + STOP_MS + LATE_MS + CONTACT_MS);
        boolean isRunning = deployment.fleet.isRunning(id + ".0.0.0") || deployment.fleet.isRunning(id + ".0.0.1");
        deployment.call(deployment.entries.get(2), "GET", "/tally/" + id, null);
        Thread.sleep(5_000);
        boolean isStillRunning = deployment.fleet.isRunning(id + ".0.0.0") || deployment.fleet.isRunning(id + ".0.0.1");
        record.line("tasks of the cancelled job run: " + isRunning + ", 5 s later: " + isStillRunning);
        if (isRunning && isStillRunning) {
            record.line("BROKEN UNASKED: a task runs on after its job's cancelling was acknowledged");
            return 1;
        }
        return 0;
    }
}
