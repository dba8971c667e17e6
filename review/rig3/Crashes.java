import java.nio.file.Path;

/** Three workers crash one after the other, each while it runs the same task, which is sound and has used no attempt. */
final class Crashes {
    static final long WORK_MS = 8_000;
    static final int CRASHES = 3;

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
        String id = "5c0e7a21d94b36f8";
        String task = id + ".0.0.0";
        // Keeps eight workers in the pool, so that one of them is at most an eighth of the service.
        String lasting = "{\"spec\":\"ms=-1 cpu=4000\",\"steps\":[{\"count\":8,\"cpu\":4000,\"memMb\":1024,\"antiAffinity\":1,\"longRunning\":true,\"mayMiss\":2}]}";
        if (!deployment.submit("tally", "1a2b3c4d5e6f7081", lasting, 20_000)) {
            record.line("could not run: the lasting job was not accepted");
            return 2;
        }
        Thread.sleep(3_000);
        if (!deployment.submit("tally", id, "{\"spec\":\"ms=" + WORK_MS + " cpu=1000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":256,\"estimateMs\":8000}]}", 20_000)) {
            record.line("could not run: the job was not accepted");
            return 2;
        }
        for (int i = 0; hasTrouble && i < CRASHES; i++) {
            for (int n = 0; n < 300 && !deployment.fleet.isRunning(task); n++) Thread.sleep(50);
            Thread.sleep(2_500);
            if (!deployment.fleet.crashWorkerOf(task, 3_000)) break;
        }
        String state = "";
        for (int n = 0; n < 40; n++) {
            Thread.sleep(1_000);
            state = deployment.call(deployment.entries.get(n % 3), "GET", "/tally/" + id, null);
            if (state.contains("failed") || state.contains("complete")) break;
        }
        int failedEnds = deployment.fleet.ended.getOrDefault(task + " failed", 0);
        record.line("the job is shown as: " + state + "; runs of its task that ended 'failed': " + failedEnds + ", attempts: 3");
        if (state.contains("failed") && failedEnds < 3) {
            record.line("BROKEN LOST: shown as failed without cause");
            return 1;
        }
        if (!state.contains("complete")) record.line("the job has not ended in the time of the script");
        return 0;
    }
}
