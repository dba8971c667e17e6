import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The cases of this review: `Cases NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
public final class Cases {
    private interface Case {
        List<String> run(Rig rig, boolean hasTrouble) throws Exception;
    }

    public static void main(String[] args) {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Map<String, Case> cases = Map.of("timed", Cases::timedJobs, "crashes", Cases::crashes);
        int status = 2;
        try (Rig rig = new Rig(Path.of(args[1], "record.txt"), 3)) {
            rig.note("case %s, %s", args[0], hasTrouble ? "with the disruption" : "without the disruption");
            List<String> broken = cases.get(args[0]).run(rig, hasTrouble);
            for (String line : broken) {
                rig.note("BROKEN %s", line);
                System.out.println("BROKEN " + line);
            }
            status = broken.isEmpty() ? 0 : 1;
            rig.note(status == 0 ? "the rule held" : "the rule was broken");
            System.out.println(status == 0 ? "the rule held" : "the rule was broken");
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    /** Jobs with `times` while the owner is killed: TWICE. */
    private static List<String> timedJobs(Rig rig, boolean hasTrouble) throws Exception {
        rig.deploy(8, 3);
        List<String> jobs = new ArrayList<>();
        long firstMs = System.currentTimeMillis() + 2_000;
        for (int i = 0; i < 6; i++) {
            String id = rig.newId();
            Map<String, Object> step = Json.of("count", 4, "cpu", 2_000, "memMb", 1_024, "estimateMs", 900);
            Map<String, Object> job = Json.of("spec", "tally " + i, "steps", List.of(step), "times", 6, "intervalMs", 4_000, "startAtMs", firstMs + 600 * i);
            if (rig.submit(id, job, new Rig.TaskKind(2_000, 1_024, 900)).equals("200")) jobs.add(id);
        }
        if (jobs.size() < 6) throw new IllegalStateException("the system accepted only " + jobs.size() + " jobs");
        for (int i = 0; i < 2; i++) {
            Rig.sleep(8_000);
            // An occurrence has just begun, so that it ends before the next owner asks its worker.
            if (hasTrouble) awaitStart(rig);
            Rig.Entry leader = rig.leader();
            if (hasTrouble && leader != null) rig.kill(leader, 3_000);
        }
        awaitFinal(rig, jobs, 45_000);
        return rig.runsTwice();
    }

    /** A job whose workers crash three times: LOST. */
    private static List<String> crashes(Rig rig, boolean hasTrouble) throws Exception {
        rig.deploy(8, 3);
        String id = rig.newId();
        String task = id + ".0.0.0";
        Map<String, Object> step = Json.of("count", 1, "cpu", 2_000, "memMb", 1_024, "estimateMs", 4_000);
        Rig.TaskKind kind = new Rig.TaskKind(2_000, 1_024, 4_000);
        if (!rig.submit(id, Json.of("spec", "rebuild", "steps", List.of(step)), kind).equals("200")) throw new IllegalStateException("not accepted");
        for (int i = 0; i < 3 && hasTrouble; i++) {
            Worker worker = awaitRun(rig, task, 20_000);
            // The task has been at work for a while: its start does not crash the worker.
            Rig.sleep(2_000);
            if (worker != null && worker.runs(task)) rig.crash(worker, 1_000);
        }
        Map<String, String> states = awaitFinal(rig, List.of(id), 40_000);
        List<String> broken = new ArrayList<>();
        long failedEnds = rig.runs.stream().filter(run -> "failed".equals(run.how)).count();
        if ("failed".equals(states.get(id)) && failedEnds == 0) {
            broken.add("job " + id + " is shown as failed, and no run of it ended failed: " + rig.runs);
        }
        return broken;
    }

    private static void awaitStart(Rig rig) {
        int before = rig.runCount();
        for (int i = 0; i < 300 && rig.runCount() < before + 4; i++) Rig.sleep(10);
        Rig.sleep(200);
    }

    private static Worker awaitRun(Rig rig, String task, long withinMs) {
        long untilMs = Rig.nowMs() + withinMs;
        while (Rig.nowMs() < untilMs) {
            for (Worker worker : rig.workers()) if (worker.runs(task)) return worker;
            Rig.sleep(20);
        }
        return null;
    }

    private static Map<String, String> awaitFinal(Rig rig, List<String> jobs, long withinMs) {
        long untilMs = Rig.nowMs() + withinMs;
        Map<String, String> states = new LinkedHashMap<>();
        while (Rig.nowMs() < untilMs) {
            for (String id : jobs) states.put(id, rig.state(id));
            if (states.values().stream().allMatch(state -> List.of("complete", "failed", "canceled").contains(state))) break;
            Rig.sleep(1_000);
        }
        return states;
    }
}
