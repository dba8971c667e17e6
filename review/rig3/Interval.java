import java.nio.file.Path;

/** A scheduled job whose interval has a part of a millisecond: how early its occurrences begin. */
final class Interval {
    static final int TIMES = 440;
    static final double EARLY_MS = 250;

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
        double intervalMs = hasTrouble ? 200.9 : 200;
        long startAtMs = System.currentTimeMillis() + 6_000;
        String id = "5c0e7a21d94b36f8";
        String job = "{\"spec\":\"ms=50 cpu=1000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":256,\"estimateMs\":50}],\"times\":" + TIMES
            + ",\"intervalMs\":" + intervalMs + ",\"startAtMs\":" + startAtMs + "}";
        if (!deployment.submit("tally", id, job, 5_000)) {
            record.line("could not run: the job was not accepted");
            return 2;
        }
        Thread.sleep((long) (startAtMs + TIMES * intervalMs + 1_500) - System.currentTimeMillis());
        double earliestMs = 0;
        int early = 0;
        int begun = 0;
        synchronized (deployment.fleet) {
            for (int k = 0; k < TIMES; k++) {
                Long startedMs = deployment.fleet.startedWallMs.get(id + "." + k + ".0.0");
                if (startedMs == null) continue;
                begun++;
                double earlyMs = startAtMs + k * intervalMs - startedMs;
                if (earlyMs > EARLY_MS) early++;
                earliestMs = Math.max(earliestMs, earlyMs);
            }
        }
        record.line(begun + " of " + TIMES + " occurrences have begun, " + early + " of them more than 250 ms before their time, the earliest "
            + earliestMs + " ms");
        if (early > 0) {
            record.line("BROKEN ORDER: a start more than early_ms before its time");
            return 1;
        }
        return 0;
    }
}
