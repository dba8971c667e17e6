import java.nio.file.Path;

/** One job whose counts overflow the product of tasks and times, beside a sound job that was accepted before. */
final class Overflow {
    static final String HUGE = "2147483647";

    /** `finish_s` of the small sites. */
    static final int FINISH_S = 14;

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
        String sound = "{\"spec\":\"ms=12000 cpu=1000\",\"steps\":[{\"count\":4,\"cpu\":1000,\"memMb\":256,\"estimateMs\":12000}]}";
        if (!deployment.submit("tally", id, sound, 20_000)) {
            record.line("could not run: the job was not accepted");
            return 2;
        }
        Thread.sleep(2_000);
        // The steps have 3 x 2147483647 tasks, and the job has as many times: the product does not fit into 64 bits.
        String count = hasTrouble ? HUGE : "2";
        String step = "{\"count\":" + count + ",\"cpu\":1000,\"memMb\":256,\"estimateMs\":1000}";
        String job = "{\"spec\":\"ms=1000 cpu=1000\",\"steps\":[" + step + "," + step + "," + step + "],\"times\":" + count
            + ",\"intervalMs\":1000,\"startAtMs\":" + System.currentTimeMillis() + "}";
        deployment.call(deployment.entries.get(0), "POST", "/ports/7d11c3aa90b2e4f5", job);
        String state = "";
        int idleS = 0;
        for (int n = 0; n < 40; n++) {
            Thread.sleep(1_000);
            state = deployment.call(deployment.entries.get(n % 3), "GET", "/tally/" + id, null);
            if (state.contains("complete")) break;
            boolean isIdle = true;
            for (int task = 0; task < 4; task++) isIdle &= !deployment.fleet.isRunning(id + ".0.0." + task);
            idleS = isIdle ? idleS + 1 : 0;
        }
        int exits = deployment.entries.stream().mapToInt(e -> e.ownExits).sum();
        long often = deployment.entries.stream().filter(e -> e.ownExits >= 3).count();
        record.line("the sound job: " + state + "; none of its tasks has run for the last " + idleS + " s; all runs take "
            + deployment.fleet.usedCpu() + " thousandths of a core of " + 8 * 32_000);
        record.line("entries ended by themselves " + exits + " times, " + often + " of 3 entries three times or more");
        boolean isLost = !state.contains("complete") && idleS > FINISH_S + 3;
        if (isLost) record.line("BROKEN LOST: the accepted job is not complete and has nothing running although there is capacity");
        if (often >= 2) record.line("BROKEN Fault: on two machines or more processes ended by themselves three times");
        if (isLost || often >= 2) return 1;
        if (!state.contains("complete")) {
            record.line("could not run: the sound job did not complete in time");
            return 2;
        }
        return 0;
    }
}
