/*
 * Writes that the store refuses for their content. Guards against a batch that is sent again for ever and holds up all others (LOST), and
 * against an end that counts as stored although the write of its effect was refused.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.RunningRow
import io.corianderrock.jobs.ports.StoreLimits
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

/** Refuses each change with a row of [refused], or any while [refusesAll]; applies all others, and checks the condition on the owner row. */
internal class ParticularStore(
    val time: SimTime,
    override val limits: StoreLimits = StoreLimits(),
) : JobTables by SilentTables {
    val refused = HashSet<String>()
    var refusesAll = false
    var refusesProgress = false
    val rows = LinkedHashMap<RowKey, String>()
    val sent = ArrayList<RowChange>()
    var brokenConditions = 0
    var version = 1L
        private set

    override fun commit(
        change: RowChange,
        onResult: (ChangeResult) -> Unit,
    ) {
        sent.add(change)
        time.after(4) { onResult(answerTo(change)) }
    }

    private fun answerTo(change: RowChange): ChangeResult {
        if (refusesProgress && change.puts.keys.any { it.table == Table.PROGRESS }) return REFUSED
        if (refusesAll || change.puts.values.any { it in refused }) return REFUSED
        if (change.expected[OwnerRow.KEY] != version) brokenConditions++
        version++
        rows.putAll(change.puts)
        rows.keys.removeAll(change.deletes)
        return ChangeResult.Committed(version)
    }

    private companion object {
        val REFUSED = ChangeResult.Failed("status 400", mayHaveApplied = false, isPermanent = true)
    }
}

private class RefusedOwner(
    limits: StoreLimits = StoreLimits(),
) {
    private val time = SimTime()
    val store = ParticularStore(time, limits)
    val lines = ArrayList<String>()
    val lost = ArrayList<String>()
    val dropped = ArrayList<String>()
    val stored = ArrayList<String>()
    private val log = DecisionLog { event, fields -> lines.add(event + " " + fields.joinToString(" ")) }
    val committer = Committer(SimLoop(time), store, log, OwnerRow("e", "e", 1, 1), 1, { 0 }, { lost.add(it) })

    fun put(
        id: String,
        value: String = id,
        table: Table = Table.PROGRESS,
    ) = committer.put(RowKey(table, id), onDropped = { dropped.add(id) }, onStored = { stored.add(id) }) { value }

    fun run(durationMs: Long) {
        val endMs = time.nowMs + durationMs
        while (time.nowMs < endMs) {
            committer.renewIfDue()
            time.runUntil(time.nowMs + 50)
        }
    }

    fun storedJobs(): Set<String> =
        store.rows.keys
            .filter { it.table == Table.PROGRESS }
            .mapTo(HashSet()) { it.key }
}

internal class RefusedWriteTest :
    DescribeSpec({
        describe("a row that the store refuses for its content, among others") {
            it("alone is given up: the others are stored under the condition on the owner row, and the term goes on") {
                val owner = RefusedOwner()
                owner.store.refused.add("job13")
                repeat(60) { owner.put("job$it") }
                owner.run(2_000)
                owner.storedJobs() shouldBe (0 until 60).map { "job$it" }.toSet() - "job13"
                owner.dropped shouldBe listOf("job13")
                owner.stored shouldNotContain "job13"
                owner.lost.shouldBeEmpty()
                owner.store.brokenConditions shouldBe 0
                owner.committer.canWrite shouldBe true
            }
            it("is not sent again once it was refused alone") {
                val owner = RefusedOwner()
                owner.store.refused.add("job13")
                repeat(60) { owner.put("job$it") }
                owner.run(5_000)
                // Halves of 60, 30, 15, 8, 4, 2 and 1.
                owner.store.sent.count { "job13" in it.puts.values } shouldBeLessThanOrEqual 7
            }
            it("is logged with its job, table, size and limit") {
                val owner = RefusedOwner()
                owner.store.refused.add("job13")
                repeat(3) { owner.put("job${it + 12}") }
                owner.run(1_000)
                owner.lines.filter { it.startsWith("write_refused ") } shouldBe
                    listOf("write_refused job job13 table progress bytes 8 limit content limitBytes  reason status 400")
            }
            it("is stored when its next value is accepted") {
                val owner = RefusedOwner()
                owner.store.refused.add("large")
                owner.put("job", "large")
                owner.run(1_000)
                owner.put("job", "small")
                owner.run(1_000)
                owner.store.rows[RowKey(Table.PROGRESS, "job")] shouldBe "small"
            }
            it("is no reason to hold up a release, which stores the rest") {
                val owner = RefusedOwner()
                owner.store.refused.add("job3")
                repeat(8) { owner.put("job$it") }
                var isReleased = false
                owner.committer.release { isReleased = true }
                owner.run(1_000)
                isReleased shouldBe true
                owner.storedJobs() shouldBe (0 until 8).map { "job$it" }.toSet() - "job3"
                OwnerRow.decode(owner.store.rows.getValue(OwnerRow.KEY))?.holder shouldBe ""
            }
        }
        describe("a row that is written after others, one of which is refused") {
            // Guards against an end that is acknowledged although its effect on the job is not stored.
            it("has the value of after the refusal") {
                val owner = RefusedOwner()
                var isRefused = false
                owner.store.refused.add("progress")
                owner.put("job0")
                owner.committer.put(RowKey(Table.PROGRESS, "job"), onDropped = { isRefused = true }) { "progress" }
                owner.put("job1")
                val lease = RowKey(Table.WORKER_LEASES, "worker")
                owner.committer.putAfterPending(lease, onStored = {}) { if (isRefused) "without the end" else "with the end" }
                owner.run(1_000)
                owner.store.rows[lease] shouldBe "without the end"
                owner.store.sent.none { it.puts[lease] == "with the end" && it.puts.size <= 2 } shouldBe true
            }
        }
        describe("an end whose effect on its job the store refuses") {
            // Guards against an end that no owner can learn of any more: it is not stored, and the worker has dropped it.
            it("is not acknowledged until the effect is stored, and the worker is still held") {
                lateinit var store: ParticularStore
                val owner = OwnerOfScriptedWorkers(Step(2, Demand(1_000, 100)), tablesOf = { ParticularStore(it).also { s -> store = s } })
                store.refusesProgress = true
                owner.ended = listOf(EndRow(1, owner.tasks[0].id, 1, EndKind.DONE, ""))
                owner.driver.start(owner.tasks[1], owner.worker())
                owner.pass(100)
                owner.running["w0"] = listOf(RunningRow(owner.tasks[1].id, owner.starts.last().runNumber, "", 100))
                owner.passTicking(3_000)
                owner.tasks[0].phase shouldBe TaskPhase.DONE
                owner.holds.map { it.acknowledgedEnd }.toSet() shouldBe setOf(0L)
                val holdCount = owner.holds.size
                owner.passTicking(6_000)
                owner.holds.size shouldBeGreaterThan holdCount + 1
                store.refusesProgress = false
                owner.running.clear()
                owner.ended = listOf(EndRow(2, owner.tasks[1].id, 1, EndKind.DONE, ""))
                owner.passTicking(3_000)
                owner.holds.map { it.acknowledgedEnd }.toSet() shouldBe setOf(0L, 2L)
            }
        }
        describe("a store that refuses everything for a while") {
            it("gets no row dropped, and all rows once it accepts them") {
                val owner = RefusedOwner()
                owner.store.refusesAll = true
                repeat(5) { owner.put("job$it") }
                owner.run(3_000)
                owner.dropped.shouldBeEmpty()
                owner.store.refusesAll = false
                owner.run(2_000)
                owner.storedJobs() shouldBe (0 until 5).map { "job$it" }.toSet()
            }
        }
        describe("rows whose sizes are known to the owner") {
            it("over the limit of a row are not sent, and are logged with both figures") {
                val owner = RefusedOwner(StoreLimits(rowBytes = 1_000))
                owner.put("small")
                owner.put("large", "x".repeat(900))
                owner.run(1_000)
                owner.storedJobs() shouldBe setOf("small")
                owner.dropped shouldBe listOf("large")
                owner.store.sent.none { change -> change.puts.values.any { it.length == 900 } } shouldBe true
                owner.lines.filter { it.startsWith("write_refused ") } shouldBe
                    listOf("write_refused job large table progress bytes 1200 limit rowBytes limitBytes 1000 reason not sent")
            }
            it("are sent in transactions below the limit of bytes") {
                val owner = RefusedOwner()
                repeat(60) { owner.put("job$it", "$it,".padEnd(48_000, 'x')) }
                owner.run(3_000)
                owner.storedJobs().size shouldBe 60
                val sizes = owner.store.sent.map { change -> change.puts.values.sumOf { (it.length + 2) / 3 * 4 } }
                sizes.max() shouldBeLessThanOrEqual 1_000_000
                // 15 rows of 64,000 bytes fit.
                owner.store.sent.count { it.puts.size > 1 } shouldBe 4
            }
            it("of new jobs leave a share of the bytes to other rows") {
                val owner = RefusedOwner()
                repeat(60) { id ->
                    owner.committer.put(RowKey(Table.JOBS, "new$id"), mustBeAbsent = true) { "x".repeat(48_000) }
                }
                owner.put("job")
                owner.run(40)
                owner.storedJobs() shouldContain "job"
            }
        }
    })
