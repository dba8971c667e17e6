/*
 * The stored row of learned run times over a takeover, and what operators see of the errors.
 */
package io.corianderrock.jobs.runtimes

import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.runs.RunTimeSource
import io.corianderrock.jobs.runs.SchedulingSettings
import io.corianderrock.jobs.world.JobWorld
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlin.math.abs

/** The model of one owner, whose rows are kept. */
private class Owner(
    private val time: SimTime = SimTime(),
) {
    val lines = ArrayList<String>()
    val rows = ArrayList<String>()
    val model = LearnedRunTimes()
    val records =
        RunTimeRecords(SimLoop(time), { event, fields -> lines.add("$event ${fields.joinToString(" ")}") }, model) { _, value ->
            rows.add(value())
        }

    /** Observes the runs of [jobCount] jobs, one job each 100 ms. */
    fun run(
        runs: SyntheticRuns,
        jobCount: Int,
    ) = repeat(jobCount) {
        time.runUntil(time.nowMs + 100)
        val (job, bases) = runs.job()
        for (step in stepsOf(job)) {
            start(step)
            step.tasks.forEach { records.observe(EndedRun(step, WORKER, runs.taskMs(bases[step.number]), EndKind.DONE)) }
        }
    }
}

internal class RunTimeRecordsTest :
    DescribeSpec({
        describe("a takeover in the middle of a day") {
            // Guards against a new owner that goes back to estimates off by half to nearly twice.
            it("leaves the new owner predictions as good as those of the last, and better than the estimates") {
                val first = Owner().also { it.run(SyntheticRuns(1), 250) }
                val next = Owner().also { it.records.load(first.rows.last()) }
                val (ofFirst, ofNext, ofDeclared) =
                    listOf(first.model, next.model, DeclaredRunTimes()).map { model ->
                        val runs = SyntheticRuns(100)
                        List(200) {
                            runs.job().let { (job, bases) ->
                                abs(logRatio(model.quantileMs(stepsOf(job)[0], 0.5), bases[0]))
                            }
                        }.average()
                    }
                ofNext shouldBeLessThan ofFirst + 0.05
                ofNext shouldBeLessThan ofDeclared - 0.1
                next.lines.single() shouldContain "run_times_loaded"
            }
            // Guards against a row that grows beyond what a transaction carries, or is written with every run.
            it("costs a small row every ten seconds") {
                val owner = Owner().also { it.run(SyntheticRuns(2), 250) }
                owner.rows shouldHaveSize 2
                owner.rows.last().length shouldBeLessThan 512
                repeat(100) { number -> owner.run(SyntheticRuns(3, queue = "a-queue-with-a-long-name-$number"), 5) }
                owner.rows.last().length shouldBeLessThan 26_000
            }
            // Guards against an owner that cannot start because of a row that it cannot use.
            it("drops a row that is corrupt or of another version, with a log line") {
                val corrupt =
                    listOf(
                        "",
                        "{",
                        "[]",
                        """{"version":1,"runsByQueue":{"q":["x"]}}""",
                        """{"version":1,"runsByQueue":3}""",
                        "9".repeat(1_000),
                    )
                for (text in corrupt + """{"version":2,"runsByQueue":{"q":[500,600]}}""") {
                    val owner = Owner().also { it.records.load(text) }
                    owner.lines.single() shouldContain "run_times_dropped"
                    owner.model.rememberedCount shouldBe 0
                }
            }
            // Guards against stored numbers outside of any run time.
            it("uses a row with absurd numbers without infinite predictions") {
                val owner = Owner()
                owner.records.load("""{"version":1,"runsByQueue":{"q":[2147483647,-2147483648,7,-1,5]}}""")
                owner.model.expectedMs(stepsOf(SyntheticRuns(4).job().first).first()).isFinite() shouldBe true
            }
        }
        describe("the log") {
            // Guards against a line for each of 200 runs a second.
            it("names estimate, runs learned from and error, at most once a second and ten seconds a queue") {
                val owner = Owner().also { it.run(SyntheticRuns(5), 300) }
                val judged = owner.lines.filter { it.startsWith("run_time_judged") }
                judged shouldHaveSize 30
                judged.last() shouldContain Regex("estimateMs \\d+ upperMs \\d+ sampleCount 128 ratio [0-9.]+")
                val reports = owner.lines.filter { it.startsWith("run_time_accuracy") }
                reports.shouldNotBeEmpty()
                reports.size shouldBeLessThan 4
                reports.last() shouldContain Regex("queue q runs \\d+ medianRatio [01]\\.\\d+ beyondUpperShare 0\\.[01]\\d*")
            }
        }
        describe("the log of a simulation") {
            // Guards against a log that cannot be replayed: the models need what was declared and how long each run took.
            it("has queue, account, estimate and task count with each start, and the run time with each end") {
                val lines = ArrayList<String>()
                JobWorld(1, traces = lines).run()
                val starts = lines.filter { "task_started" in it }
                starts.shouldNotBeEmpty()
                starts
                    .filterNot {
                        Regex(
                            "queue \\S+ account \\S* ?tasks \\d+ estimateMs \\d+ isRemote (true|false)",
                        ) in it
                    }.shouldBeEmpty()
                val ends = lines.filter { "task_ended" in it }
                ends.filter { Regex("outcome DONE ranMs \\d+") in it }.shouldNotBeEmpty()
                // Guards against a job of which operators cannot tell which estimate was used and how wrong it was.
                val jobEnd = Regex("tookMs \\d+ estimate (declared|mean) samples \\d+ sampleAgeMs \\d* ?estimateMs \\d+ ranMs \\d+")
                lines.count { "job_ended" in it && jobEnd in it } shouldBeGreaterThan lines.count { "job_ended" in it } / 2
                ends.filterNot { Regex("(ranMs|ranAtLeastMs) \\d+") in it }.shouldBeEmpty()
            }
        }
        describe("simulations with faults and learned run times") {
            // Guards against packing or forecasts that break a rule, and against a row that the next owner does not find.
            it("violate no invariant, and later owners load the row") {
                val lines = ArrayList<String>()
                val settings = SchedulingSettings(runTimes = RunTimeSource.LEARNED)
                (1..40).flatMap { JobWorld(it, traces = lines, settings = settings).run().violations }.shouldBeEmpty()
                lines.filter { "run_times_loaded" in it }.shouldNotBeEmpty()
                lines.filter { "run_times_dropped" in it }.shouldBeEmpty()
            }
        }
    })
