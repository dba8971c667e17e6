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
        // Without it the answers of the stand-ins wait 40 ms for an acknowledgement; the store answers within 4 ms by its sheet.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Map<String, Case> cases = Map.of("timed", Cases::timedJobs, "history", Cases::history, "large", Cases::largeJobs, "deletion", Cases::deletion);
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

    /** Jobs that the system has finished in the hours before, see review/7/claim.txt. */
    private static final int OLD_JOBS = 120_000;

    /** The owner is lost after hours of ordinary traffic: LOST. */
    private static List<String> history(Rig rig, boolean hasTrouble) throws Exception {
        rig.deploy(8, 3);
        addOldJobs(rig, OLD_JOBS);
        Rig.Entry leader = rig.leader();
        if (hasTrouble) rig.kill(leader, 3_000);
        Rig.sleep(500);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            String id = rig.newId();
            if (rig.submit(id, TALLY, TALLY_KIND, TALLY_KIND).equals("200")) jobs.add(id);
            Rig.sleep(100);
        }
        if (jobs.isEmpty()) throw new IllegalStateException("no job was accepted");
        rig.note("the traffic has ended, %d jobs are accepted", jobs.size());
        // contactMs after the killed process is back, and finish_s after the end of the traffic.
        Rig.sleep(3_000 + 3_000 + 14_000);
        List<String> broken = new ArrayList<>();
        for (int i = 0; i < 10 && broken.isEmpty(); i++) {
            boolean isIdle = isIdleFor3s(rig);
            List<String> open = jobs.stream().filter(id -> rig.doneCount(id) < 12).toList();
            if (open.isEmpty()) break;
            if (!isIdle) continue;
            for (String id : open) {
                broken.add("job " + id + " has had nothing running for 3 s, with eight idle workers; " + rig.doneCount(id) + " of its 12 tasks are done");
            }
        }
        rig.call("GET", Rig.PREFIX + jobs.get(0), null, 3);
        rig.noteErrors("OutOfMemoryError");
        return broken;
    }

    /** Large jobs come at once, then some like tally-nat: LOST. */
    private static List<String> largeJobs(Rig rig, boolean hasTrouble) throws Exception {
        rig.deploy(8, 3);
        rig.isBrief = true;
        int taskCount = hasTrouble ? 20_000 : 200;
        Rig.TaskKind kind = new Rig.TaskKind(1_000, 100, 300);
        Map<String, Object> large =
            Json.of("spec", "batch", "steps", List.of(Json.of("count", taskCount, "cpu", 1_000, "memMb", 100, "estimateMs", 300)));
        Map<String, Long> tasksByJob = new LinkedHashMap<>();
        long untilMs = Rig.nowMs() + 50_000;
        for (int i = 0; i < 55 && Rig.nowMs() < untilMs; i++) {
            boolean isLarge = i < 50;
            String id = rig.newId();
            String status = isLarge ? rig.submit(id, large, kind) : rig.submit(id, TALLY, TALLY_KIND, TALLY_KIND);
            if (status.equals("200")) tasksByJob.put(id, isLarge ? taskCount : 12L);
            Rig.sleep(200);
        }
        rig.note("the traffic has ended, %d jobs are accepted, %d runs have begun", tasksByJob.size(), rig.runCount());
        // finish_s after the end of the traffic.
        Rig.sleep(14_000);
        List<String> broken = new ArrayList<>();
        for (int i = 0; i < 5 && broken.isEmpty(); i++) {
            int before = rig.runCount();
            if (isIdleFor3s(rig) && rig.runCount() == before) {
                tasksByJob.forEach((id, count) -> {
                    long done = rig.doneCount(id);
                    if (done < count) broken.add("job " + id + " has had nothing running for 3 s, with eight idle workers; " + done + " of its " + count + " tasks are done");
                });
            }
            if (broken.isEmpty() && tasksByJob.entrySet().stream().allMatch(job -> rig.doneCount(job.getKey()) >= job.getValue())) break;
        }
        rig.note("%d runs have begun", rig.runCount());
        rig.noteErrors("OutOfMemoryError");
        return broken;
    }

    /** True if no worker runs anything for 3 s. */
    private static boolean isIdleFor3s(Rig rig) {
        boolean isIdle = true;
        for (int i = 0; i < 30; i++) {
            isIdle &= rig.workers().stream().allMatch(worker -> worker.runNumbers().isEmpty());
            Rig.sleep(100);
        }
        return isIdle;
    }

    /** How fast the owner deletes finished jobs whose time is over; breaks no rule. */
    private static List<String> deletion(Rig rig, boolean hasTrouble) throws Exception {
        rig.deploy(8, 3);
        addOldJobs(rig, 2_000);
        rig.kill(rig.leader(), 3_000);
        Rig.sleep(5_000);
        for (int i = 0; i < 9; i++) {
            rig.note("rows of jobs in the store: %d", rig.store.count("jobs"));
            Rig.sleep(5_000);
        }
        return List.of();
    }

    /** A job like tally-nat: 2 steps of 6 tasks. */
    private static final Map<String, Object> TALLY =
        Json.of(
            "spec", "x".repeat(150),
            "steps", List.of(
                Json.of("count", 6, "cpu", 1_800, "memMb", 6_500, "estimateMs", 680),
                Json.of("count", 6, "cpu", 1_800, "memMb", 6_500, "estimateMs", 680, "after", List.of(0))));
    private static final Rig.TaskKind TALLY_KIND = new Rig.TaskKind(1_800, 6_500, 300);

    /** Lets the system finish one job and copies the rows that it has stored of it, under other ids and finished 200 s ago. */
    private static void addOldJobs(Rig rig, int count) {
        String model = rig.newId();
        rig.submit(model, TALLY, TALLY_KIND, TALLY_KIND);
        if (!"complete".equals(awaitFinal(rig, List.of(model), 15_000).get(model))) throw new IllegalStateException("the first job is not complete");
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) ids.add(rig.newId());
        long finishedMs = System.currentTimeMillis() - 200_000;
        rig.store.copyJob(model, ids, (id, content) -> content.replaceAll("(\"finishedWallMs\":)\\d+", "$1" + finishedMs));
        rig.note("rows of finished jobs in the store: %d", rig.store.count("jobs"));
    }

    private static void awaitStart(Rig rig) {
        int before = rig.runCount();
        for (int i = 0; i < 300 && rig.runCount() < before + 4; i++) Rig.sleep(10);
        Rig.sleep(200);
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
